package terms

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"sedgestream/balance"
)

// Explanation says what a route table does with a request.
type Explanation struct {
	Route            string         `json:"route"`            // "" if no route fits: only the settings apply
	Season           string         `json:"season,omitempty"` // the season whose policy applies
	Others           []SkippedRoute `json:"others"`
	Timeline         []TimelineStep `json:"line"`
	Attempts         int            `json:"trips"` // most attempts that the request can make
	TotalAttemptTime int64          `json:"held"`  // longest time of all its attempts together, in ns
	Deadline         int64          `json:"limit"` // ns after arrival; 0: the client's own, which the settings do not bound
	Refused          string         `json:"refused,omitempty"`
}

// SkippedRoute is a route that the request does not take.
type SkippedRoute struct {
	Route string `json:"route"`
	Why   string `json:"why"`
}

// TimelineStep is one step of the worst case. Latest is the latest time at which it happens, in ns after the request's
// arrival.
type TimelineStep struct {
	Latest int64  `json:"latest"`
	What   string `json:"what"`
}

// Explain says which route the request takes at that time, why it takes none of the others, and its timeline in the worst
// case: each attempt and each pause takes as long as it can, and a hedged attempt is sent after its longest
// delay.
func (t *RouteTable) Explain(req *Request, now int64) (e Explanation) {
	taken := t.Find(req)
	for i := range t.routes {
		r := &t.routes[i]
		switch mismatch := r.Match.mismatch(req); {
		case r == taken:
		case mismatch != "":
			e.Others = append(e.Others, SkippedRoute{r.Name, "the job's " + mismatch + " is another"})
		default:
			e.Others = append(e.Others, SkippedRoute{r.Name,
				fmt.Sprintf("it fits, but %q is more specific: %s", taken.Name, taken.Match.reasonMoreSpecific(&r.Match))})
		}
	}
	policy := &Policy{}
	if taken != nil {
		e.Route = taken.Name
		if policy = taken.activePolicy(now); taken.active > 0 {
			e.Season = t.seasons[taken.seasons[taken.active-1]].Name
		}
	}
	e.addTimeline(t.env, policy, req)
	return e
}

// reasonMoreSpecific says why a match takes precedence over the other.
func (m *Match) reasonMoreSpecific(other *Match) string {
	if len(m.KeyPrefix) > len(other.KeyPrefix) {
		return "its key is longer"
	}
	names := [...]string{"again", "session", "statement", "group", "tariff"}
	for i := len(names) - 1; i >= 0; i-- {
		if bit := fieldSet(1) << i; m.tableKey().fields&bit > other.tableKey().fields&bit {
			return "it names a " + names[i]
		}
	}
	return "it comes first"
}

// addTimeline adds the steps of the worst case.
func (e *Explanation) addTimeline(env *Environment, policy *Policy, req *Request) {
	settings, class := env.Settings, &env.Settings.Classes[req.Class]
	limit := env.maxDuration(req.Class, policy)
	if e.Deadline = limit; limit == 0 {
		limit = math.MaxInt64 / 4
	}
	addStep := func(at int64, format string, args ...any) {
		e.Timeline = append(e.Timeline, TimelineStep{at, fmt.Sprintf(format, args...)})
	}
	maxAttempts := policy.MaxAttempts
	if maxAttempts == 0 {
		maxAttempts = settings.MaxAttempts
	}
	// An at-most-once request is not retried after an outcome that leaves open whether it ran. Its other outcomes prove
	// that it did not run, and usually come at once; the timeline counts such attempts with their full length.
	at, first := int64(0), int64(0)
	for {
		e.Attempts++
		addStep(at, "trip %d leaves", e.Attempts)
		end := at + policy.AttemptTimeout.upperBound(limit-at)
		if settings.RetryAfter(class) > 0 { // an answer after the target time is worth nothing
			end = min(end, class.TargetLatency)
		}
		if policy.HedgeDelay.IsSet() && !policy.NoHedging && e.Attempts < maxAttempts {
			if hedgeAt := at + policy.HedgeDelay.upperBound(limit-at); hedgeAt < end &&
				(class.RetrySafety != balance.Deduplicated || hedgeAt <= first+class.DedupWindow) {
				e.Attempts++
				e.TotalAttemptTime += end - hedgeAt
				addStep(hedgeAt, "trip %d leaves as a second copy, if %.4g %% of requests have had none",
					e.Attempts, 100*(1-policy.HedgeShare))
			}
		}
		e.TotalAttemptTime += end - at
		if end >= limit {
			break
		}
		addStep(end, "the trip times out")
		next := end + policy.maxPause(e.Attempts)
		switch away := settings.RetryAfter(class); {
		case away > 0 && next >= class.TargetLatency:
			e.addFinalStep(class, policy, end,
				"the next trip would leave after the target time, and late answers are worth nothing; the client is asked to stay away for "+formatDuration(away), addStep)
			return
		case e.Attempts >= maxAttempts:
			e.addFinalStep(class, policy, end, "no trips are left", addStep)
			return
		case class.RetrySafety == balance.AtMostOnce:
			e.addFinalStep(class, policy, end, "it may have run and must not run twice", addStep)
			return
		case policy.RetryOn != 0 && policy.RetryOn&SingleOutcome(balance.TimedOut) == 0:
			e.addFinalStep(class, policy, end, "a trip that timed out is not retried", addStep)
			return
		case class.RetrySafety == balance.Deduplicated && next > first+class.DedupWindow:
			e.addFinalStep(class, policy, end, "repeats are discarded for "+formatDuration(class.DedupWindow)+" only", addStep)
			return
		case next >= limit:
			e.addFinalStep(class, policy, end, "the next trip would leave after the hard limit", addStep)
			return
		}
		if next > end {
			addStep(end, "a pause of %s at most", formatDuration(next-end))
		}
		at = next
	}
	addStep(limit, "the hard limit is reached; the client gets an error")
}

// addFinalStep adds the step at which the request is given up before its deadline, and why. A request that may safely run
// again is rejected, so that its client can retry; any other one is terminated.
func (e *Explanation) addFinalStep(class *balance.Class, policy *Policy, at int64, why string, addStep func(int64, string, ...any)) {
	e.Refused = why
	if class.RetrySafety == balance.Idempotent || class.RetrySafety == balance.Deduplicated && class.DedupScope == balance.DedupEverywhere {
		addStep(at, "rejected: %s", why)
	} else {
		addStep(at, "terminated: %s", why)
	}
}

// Change describes requests to which two route tables apply different terms.
type Change struct {
	Requests string   `json:"jobs"`
	Before   string   `json:"before"` // route, or "" for none
	After    string   `json:"after"`
	Terms    []string `json:"terms"` // what differs
}

// Diff says to which requests the table after applies other terms than the table before. It looks at each pair of routes,
// one of each table, that both match some request and are taken by it; a request without a route counts as taking a route
// that matches everything. Terms that differ only in a season are listed as well.
func Diff(before, after *RouteTable) (out []Change) {
	oldRoutes, newRoutes := before.allRoutes(), after.allRoutes()
	slices.SortStableFunc(newRoutes, func(a, b *Route) int { return strings.Compare(a.Match.KeyPrefix, b.Match.KeyPrefix) })
	byKey := map[string][]*Route{}
	for _, r := range newRoutes {
		byKey[r.Match.KeyPrefix] = append(byKey[r.Match.KeyPrefix], r)
	}
	v := &validator{env: after.env}
	group := before.unusedGroup
	for ; slices.ContainsFunc(newRoutes, func(r *Route) bool { return !r.Match.AnyGroup && r.Match.Group == group }) ||
		slices.ContainsFunc(oldRoutes, func(r *Route) bool { return !r.Match.AnyGroup && r.Match.Group == group }); group++ {
	}
	keys := commonUnusedKeys(before.unusedKeys(), after.unusedKeys())
	comparePair := func(a, b *Route) {
		both, ok := a.Match.intersect(&b.Match)
		if !ok {
			return
		}
		v.anyNarrowRequest(&both, group, keys, func(req *Request) bool {
			x, y := before.Find(req), after.Find(req)
			if (x != nil && x != a || x == nil && a.Name != "") || (y != nil && y != b || y == nil && b.Name != "") {
				return false
			}
			if d := diffRoutes(a, b); len(d) > 0 {
				out = append(out, Change{both.describe(after.env), a.Name, b.Name, d})
			}
			return true
		})
	}
	for _, a := range oldRoutes {
		for n := range a.Match.KeyPrefix { // new routes whose key prefix is a shorter prefix of the old one's
			for _, b := range byKey[a.Match.KeyPrefix[:n]] {
				comparePair(a, b)
			}
		}
		from, _ := slices.BinarySearchFunc(newRoutes, a.Match.KeyPrefix,
			func(r *Route, k string) int { return strings.Compare(r.Match.KeyPrefix, k) })
		for ; from < len(newRoutes) && strings.HasPrefix(newRoutes[from].Match.KeyPrefix, a.Match.KeyPrefix); from++ {
			comparePair(a, newRoutes[from])
		}
	}
	slices.SortFunc(out, func(x, y Change) int {
		return cmp.Or(cmp.Compare(x.Requests, y.Requests), cmp.Compare(x.Before, y.Before), cmp.Compare(x.After, y.After))
	})
	return out
}

// allRoutes returns the routes, and one without a name for the requests that take none.
func (t *RouteTable) allRoutes() (routes []*Route) {
	for i := range t.routes {
		routes = append(routes, &t.routes[i])
	}
	return append(routes, &Route{table: t, Match: Match{Class: -1, AnyGroup: true}, policies: []Policy{{}}})
}

// commonUnusedKeys returns a key that is in both lists, or, if there is none, all keys of both.
func commonUnusedKeys(a, b []string) []string {
	for _, k := range a {
		if slices.Contains(b, k) {
			return []string{k}
		}
	}
	return append(a, b...)
}

// intersect returns the match of the requests that fit both matches; ok is false if there are none.
func (m *Match) intersect(other *Match) (both Match, ok bool) {
	both = *m
	if len(other.KeyPrefix) > len(m.KeyPrefix) {
		both.KeyPrefix = other.KeyPrefix
	}
	ok = strings.HasPrefix(both.KeyPrefix, m.KeyPrefix) && strings.HasPrefix(both.KeyPrefix, other.KeyPrefix)
	if m.Class < 0 {
		both.Class = other.Class
	} else if other.Class >= 0 && other.Class != m.Class {
		ok = false
	}
	if m.AnyGroup {
		both.AnyGroup, both.Group = other.AnyGroup, other.Group
	} else if !other.AnyGroup && other.Group != m.Group {
		ok = false
	}
	for _, pair := range []struct{ into, from *Requirement }{{&both.Write, &other.Write}, {&both.Session, &other.Session},
		{&both.ClientRetry, &other.ClientRetry}} {
		if *pair.into == Any {
			*pair.into = *pair.from
		} else if *pair.from != Any && *pair.from != *pair.into {
			ok = false
		}
	}
	return both, ok
}

// describe says in words which requests fit the match.
func (m *Match) describe(env *Environment) string {
	var parts []string
	if m.Class >= 0 {
		parts = append(parts, "tariff "+env.Classes[m.Class])
	}
	if !m.AnyGroup {
		parts = append(parts, fmt.Sprintf("group %d", m.Group))
	}
	if m.Write != Any {
		parts = append(parts, map[Requirement]string{Yes: "writes", No: "reads"}[m.Write])
	}
	if m.KeyPrefix != "" {
		parts = append(parts, fmt.Sprintf("key %q and on", m.KeyPrefix))
	}
	if m.Session != Any {
		parts = append(parts, map[Requirement]string{Yes: "with a session", No: "without a session"}[m.Session])
	}
	if m.ClientRetry != Any {
		parts = append(parts, map[Requirement]string{Yes: "asked once more", No: "asked for the first time"}[m.ClientRetry])
	}
	if parts == nil {
		return "all others"
	}
	return strings.Join(parts, ", ")
}

// diffRoutes lists the members in which the routes' terms differ, by default and in each season.
func diffRoutes(a, b *Route) (out []string) {
	out = a.policies[0].diff(&b.policies[0], "")
	policyBySeason := func(r *Route) map[string]int {
		m := map[string]int{}
		for i, s := range r.seasons {
			m[r.table.seasons[s].Name] = i + 1
		}
		return m
	}
	ofA, ofB := policyBySeason(a), policyBySeason(b)
	names := map[string]bool{}
	for n := range ofA {
		names[n] = true
	}
	for n := range ofB {
		names[n] = true
	}
	for _, n := range slices.Sorted(maps.Keys(names)) { // index 0 is the default policy, which applies without that season
		x, y := &a.policies[ofA[n]], &b.policies[ofB[n]]
		out = append(out, x.diff(y, "in season "+n+": ")...)
		if i, k := ofA[n], ofB[n]; i > 0 && k > 0 && !a.table.seasons[a.seasons[i-1]].equal(&b.table.seasons[b.seasons[k-1]]) {
			out = append(out, "season "+n+" has different times")
		}
	}
	return out
}

func (s *Season) equal(other *Season) bool {
	return s.From == other.From && s.To == other.To && slices.Equal(s.Days, other.Days)
}

// diff lists the members, as files name them, in which the new policy differs from p.
func (p *Policy) diff(updated *Policy, where string) (out []string) {
	report := func(name string, same bool, before, after any) {
		if !same {
			out = append(out, fmt.Sprintf("%s%s %v, was %v", where, name, after, before))
		}
	}
	report("hard_limit", p.HardLimit == updated.HardLimit, formatDuration(p.HardLimit), formatDuration(updated.HardLimit))
	report("trip_time", p.AttemptTimeout == updated.AttemptTimeout, p.AttemptTimeout.describe(), updated.AttemptTimeout.describe())
	report("trips", p.MaxAttempts == updated.MaxAttempts, p.MaxAttempts, updated.MaxAttempts)
	report("again.on", p.RetryOn == updated.RetryOn, p.RetryOn, updated.RetryOn)
	report("again.base", p.BackoffBase == updated.BackoffBase, formatDuration(p.BackoffBase), formatDuration(updated.BackoffBase))
	report("again.cap", p.BackoffCap == updated.BackoffCap, formatDuration(p.BackoffCap), formatDuration(updated.BackoffCap))
	report("again.jitter", p.Jitter == updated.Jitter, p.Jitter, updated.Jitter)
	report("again.within", p.RetryInZone == updated.RetryInZone, p.RetryInZone, updated.RetryInZone)
	report("copies", p.HedgeDelay == updated.HedgeDelay && p.NoHedging == updated.NoHedging, p.describeHedging(), updated.describeHedging())
	report("copies.part", p.HedgeShare == updated.HedgeShare, p.HedgeShare, updated.HedgeShare)
	report("budget.share", p.BudgetShare == updated.BudgetShare, p.BudgetShare, updated.BudgetShare)
	report("budget.over", p.BudgetWindow == updated.BudgetWindow, formatDuration(p.BudgetWindow), formatDuration(updated.BudgetWindow))
	report("budget.floor", p.BudgetFloor == updated.BudgetFloor, p.BudgetFloor, updated.BudgetFloor)
	report("in_hand", p.MaxInFlight == updated.MaxInFlight, p.MaxInFlight, updated.MaxInFlight)
	report("away.shortest", p.MinRetryAfter == updated.MinRetryAfter, formatDuration(p.MinRetryAfter), formatDuration(updated.MinRetryAfter))
	report("away.longest", p.MaxRetryAfter == updated.MaxRetryAfter, formatDuration(p.MaxRetryAfter), formatDuration(updated.MaxRetryAfter))
	return out
}

// describeHedging returns the delay of hedged attempts in words.
func (p *Policy) describeHedging() string {
	if p.NoHedging {
		return "none"
	}
	return p.HedgeDelay.describe()
}

// describe returns the specification in words.
func (s *TimeSpec) describe() string {
	switch {
	case s.Fixed > 0:
		return formatDuration(s.Fixed)
	case s.Share > 0:
		return fmt.Sprintf("%g of what is left", s.Share)
	case s.Quantile > 0:
		return fmt.Sprintf("quantile %g from %s to %s", s.Quantile, formatDuration(s.Floor), formatDuration(s.Ceiling))
	}
	return "as in the settings"
}

// String returns the names of the outcomes, as files spell them.
func (s OutcomeSet) String() string {
	if s == 0 {
		return "all"
	}
	var names []string
	for i, name := range OutcomeNames {
		if name != "" && s&SingleOutcome(balance.Outcome(i)) != 0 {
			names = append(names, name)
		}
	}
	return strings.Join(names, "+")
}

// OutcomeNames are the names that files use for the outcomes after which a request may be retried, by balance.Outcome. An
// outcome that files cannot name has "".
var OutcomeNames = [...]string{balance.Misdirected: "miss", balance.Full: "full", balance.Unreachable: "unreachable",
	balance.Failed: "failed", balance.TimedOut: "timed_out", balance.ConnectionLost: "broken"}
