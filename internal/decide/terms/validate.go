package terms

import (
	"fmt"
	"math"
	"slices"
	"time"

	"sedgestream/balance"
)

// Validate returns everything that is wrong with a draft, judged by the settings and by itself. A draft without violations
// may be compiled.
func Validate(draft *Draft, env *Environment) (violations []Violation) {
	v := &validator{env: env, draft: draft}
	v.validateSeasons()
	names, matches := map[string]int{}, map[Match]int{}
	for i := range draft.Routes {
		r := &draft.Routes[i]
		env.yieldAt(i)
		if k, twice := names[r.Name]; twice {
			v.report(r.Path+"/name", "route %q, number %d, has the same name", draft.Routes[k].Name, k+1)
		}
		names[r.Name] = i
		if !r.MatchValid {
			continue
		}
		if k, twice := matches[r.Match]; twice {
			v.report(r.Path+"/match", "route %q has the same match, so one of the two would never be taken", draft.Routes[k].Name)
		}
		matches[r.Match] = i
		v.validateRoute(r)
	}
	if len(v.violations) == 0 { // unreachable routes can be found only if all matches are valid
		v.findUnreachable()
	}
	return v.violations
}

type validator struct {
	env        *Environment
	draft      *Draft
	violations []Violation
}

func (v *validator) report(path, format string, args ...any) {
	v.violations = append(v.violations, Violation{path, fmt.Sprintf(format, args...)})
}

func formatDuration(ns int64) string { return time.Duration(ns).String() }

func (v *validator) validateSeasons() {
	names := map[string]bool{}
	for i := range v.draft.Seasons {
		s := &v.draft.Seasons[i]
		if names[s.Name] {
			v.report(s.Path+"/name", "another season has the name %q", s.Name)
		}
		names[s.Name] = true
		for k, d := range s.Days {
			if slices.Index(s.Days, d) < k {
				v.report(fmt.Sprintf("%s/days/%d", s.Path, k), "day %d is listed twice", d)
			}
		}
	}
}

// classesOf returns the classes that the match's requests can have.
func (v *validator) classesOf(m *Match) (classes []int) {
	for class := range v.env.Settings.Classes {
		write := v.env.Settings.Classes[class].Consistency == balance.Write
		if (m.Class < 0 || m.Class == class) && m.Write.allows(write) {
			classes = append(classes, class)
		}
	}
	return classes
}

func (v *validator) validateRoute(r *DraftRoute) {
	settings := v.env.Settings
	if groups := v.env.Groups; groups != nil && !r.Match.AnyGroup && !groups[r.Match.Group] {
		v.report(r.Path+"/match/group", "there is no group %d", r.Match.Group)
	}
	classes := v.classesOf(&r.Match)
	if len(classes) == 0 {
		v.report(r.Path+"/match/statement", "requests of tariff %s never have this kind of statement", v.env.Classes[r.Match.Class])
	}
	if r.Match.Session != Any && settings.Sessions != balance.TrackedByClient {
		v.report(r.Path+"/match/session", "requests carry no session by these settings")
	}
	v.validatePolicy(&r.Default, classes)
	for i := range r.Seasonal {
		v.validatePolicy(&r.Seasonal[i].Policy, classes)
		for k := range i {
			v.validateSeasonPair(r, k, i)
		}
	}
}

// validateSeasonPair checks that two seasons of one route are different and don't overlap.
func (v *validator) validateSeasonPair(r *DraftRoute, k, i int) {
	a, b := r.Seasonal[k].Season, r.Seasonal[i].Season
	path := fmt.Sprintf("%s/seasons/%d/season", r.Path, i)
	switch {
	case a < 0 || b < 0:
	case a == b:
		v.report(path, "season %q stands twice in this route", v.draft.Seasons[a].Name)
	case overlap(&v.draft.Seasons[a], &v.draft.Seasons[b]):
		v.report(path, "seasons %q and %q overlap", v.draft.Seasons[a].Name, v.draft.Seasons[b].Name)
	}
}

// pathOf returns the JSON pointer to a member of the policy.
func (p *Policy) pathOf(member string) string {
	top := member
	for i := range member {
		if member[i] == '/' {
			top = member[:i]
			break
		}
	}
	if slices.Contains(p.Overrides, top) {
		return p.SeasonPath + "/" + member
	}
	return p.RoutePath + "/" + member
}

func (v *validator) validatePolicy(p *Policy, classes []int) {
	settings := v.env.Settings
	v.validateFloor(p, "trip_time", &p.AttemptTimeout)
	v.validateFloor(p, "copies/after", &p.HedgeDelay)
	hedging := p.HedgeDelay.IsSet()
	switch {
	case p.MaxAttempts > settings.MaxAttempts:
		v.report(p.pathOf("trips"), "the contract allows a job %d trips at most", settings.MaxAttempts)
	case hedging && p.MaxAttempts == 1:
		v.report(p.pathOf("copies"), "a second copy needs a second trip, but trips allows only one")
	}
	if hedging && !settings.Hedging {
		v.report(p.pathOf("copies"), "the contract allows no second copies")
	}
	if p.BackoffCap > 0 && p.BackoffCap < p.BackoffBase {
		v.report(p.pathOf("again/cap"), "the longest pause, %s, is shorter than the first one, %s",
			formatDuration(p.BackoffCap), formatDuration(p.BackoffBase))
	}
	if p.MaxRetryAfter > 0 && p.MinRetryAfter > p.MaxRetryAfter {
		v.report(p.pathOf("away/shortest"), "the shortest time, %s, is longer than the longest, %s",
			formatDuration(p.MinRetryAfter), formatDuration(p.MaxRetryAfter))
	}
	if most := max(p.MaxRetryAfter, p.MinRetryAfter); settings.MaxRetryAfter == 0 && most > 0 {
		v.report(p.pathOf("away"), "by the contract, rejections do not ask clients to stay away")
	} else if most > settings.MaxRetryAfter {
		v.report(p.pathOf("away"), "%s is longer than the contract allows clients to be asked to stay away, %s",
			formatDuration(most), formatDuration(settings.MaxRetryAfter))
	}
	for _, class := range classes {
		if v.validateForClass(p, class) {
			break // report one class only
		}
	}
}

// validateFloor checks that the floor of a duration is not above its ceiling.
func (v *validator) validateFloor(p *Policy, member string, spec *TimeSpec) {
	if spec.Quantile > 0 && spec.Ceiling > 0 && spec.Floor > spec.Ceiling {
		v.report(p.pathOf(member+"/floor"), "the floor %s is above the ceiling %s", formatDuration(spec.Floor), formatDuration(spec.Ceiling))
	}
}

// validateForClass checks the policy for requests of one class and returns whether it found a violation.
func (v *validator) validateForClass(p *Policy, class int) bool {
	before, settings, name := len(v.violations), v.env.Settings, v.env.Classes[class]
	c := &settings.Classes[class]
	wait := int64(0)
	if class < len(v.env.MaxWaits) {
		wait = v.env.MaxWaits[class]
	}
	if wait > 0 && p.HardLimit > wait {
		v.report(p.pathOf("hard_limit"), "clients of tariff %s wait for %s at most", name, formatDuration(wait))
	}
	limit := v.env.maxDuration(class, p)
	v.validateAtMost(p, "trip_time", &p.AttemptTimeout, limit, name)
	if shortest := p.AttemptTimeout.lowerBound(); shortest > 0 && shortest < settings.ConnectTimeout {
		v.report(p.pathOf("trip_time"), "a trip of %s could end before a connection is up, which takes up to %s",
			formatDuration(shortest), formatDuration(settings.ConnectTimeout))
	}
	v.validateAtMost(p, "copies/after", &p.HedgeDelay, limit, name)
	if a, b := p.HedgeDelay.upperBound(limit), p.AttemptTimeout.upperBound(limit); p.HedgeDelay.IsSet() &&
		p.AttemptTimeout.IsSet() && a >= b && limit > 0 {
		v.report(p.pathOf("copies/after"), "the trip itself ends after %s, so the copy would never be sent", formatDuration(b))
	}
	if p.RetryOn&MayHaveRun != 0 && c.RetrySafety == balance.AtMostOnce {
		v.report(p.pathOf("again/on"), "requests of tariff %s may have run after this outcome and must not run twice", name)
	}
	if p.HedgeDelay.IsSet() && c.RetrySafety == balance.AtMostOnce {
		v.report(p.pathOf("copies"), "a second copy of a job of tariff %s, which must not run twice", name)
	}
	if p.RetryScopeSet && !p.RetryInZone && c.RetrySafety == balance.Deduplicated && c.DedupScope == balance.DedupInZone {
		v.report(p.pathOf("again/within"), "repeats of tariff %s are discarded within one zone only", name)
	}
	v.validateTimeline(p, class, limit)
	return len(v.violations) > before
}

// validateAtMost checks that a duration does not exceed the request's limit; a limit of 0 is unknown.
func (v *validator) validateAtMost(p *Policy, member string, spec *TimeSpec, limit int64, name string) {
	if limit == 0 {
		return
	}
	if most := max(spec.Fixed, spec.Ceiling); most > limit {
		v.report(p.pathOf(member), "%s is longer than a request of tariff %s can last, %s",
			formatDuration(most), name, formatDuration(limit))
	}
}

// validateTimeline checks the worst case: all attempts that the policy allows must leave before the limit, and those of a
// deduplicated request within the window in which repeats are discarded.
func (v *validator) validateTimeline(p *Policy, class int, limit int64) {
	c := &v.env.Settings.Classes[class]
	if limit == 0 || p.MaxAttempts < 2 && p.BackoffBase == 0 {
		return
	}
	attempts := p.MaxAttempts
	if attempts == 0 {
		attempts = 2 // at least one retry
	}
	at := int64(0)
	for n := 1; n < attempts; n++ {
		if p.AttemptTimeout.IsSet() {
			at += p.AttemptTimeout.upperBound(limit - at)
		}
		at += p.maxPause(n)
		if at >= limit {
			v.report(p.pathOf("trips"), "trip %d could leave only %s after the job's coming, and its hard limit is %s",
				n+1, formatDuration(at), formatDuration(limit))
			return
		}
		// Without an attempt timeout, an attempt that may have run can end at any time; the balancer then checks the window
		// when it retries.
		if c.RetrySafety == balance.Deduplicated && (p.RetryOn == 0 || p.RetryOn&MayHaveRun != 0) &&
			p.AttemptTimeout.IsSet() && at > c.DedupWindow {
			v.report(p.pathOf("trips"), "trip %d could leave %s after the first, and repeats of tariff %s are discarded for %s only",
				n+1, formatDuration(at), v.env.Classes[class], formatDuration(c.DedupWindow))
			return
		}
	}
}

// maxPause returns the longest pause after the given number of attempts.
func (p *Policy) maxPause(attempts int) int64 {
	pause := p.BackoffBase
	for ; attempts > 1 && (p.BackoffCap == 0 || pause < p.BackoffCap) && pause < math.MaxInt64/4; attempts-- {
		pause *= 2
	}
	if p.BackoffCap > 0 {
		pause = min(pause, p.BackoffCap)
	}
	return pause
}

// findUnreachable reports the routes that no request takes, because other routes match all of their requests and take
// precedence. It tries, for each route, the requests that fewest other routes match: those with exactly the route's key
// prefix as key and a group that no route names, for each class and with and without a session and a retry mark. If none of
// these takes the route, no request does.
func (v *validator) findUnreachable() {
	table := Compile(v.draft, v.env)
	keys := table.unusedKeys()
	for i := range v.draft.Routes {
		r := &v.draft.Routes[i]
		v.env.yieldAt(i)
		taken := int32(-1)
		if v.anyNarrowRequest(&r.Match, table.unusedGroup, keys, func(req *Request) bool {
			taken = table.index.find(req)
			return taken == int32(i)
		}) {
			continue
		}
		v.report(r.Path+"/match", "no request ever takes this route: route %q and others match all of its requests and take precedence",
			v.draft.Routes[taken].Name)
	}
}

// anyNarrowRequest calls accept with the requests that fit the match and as few others as possible, and reports whether one
// was accepted. Where the match names no group or key, it uses the given ones.
func (v *validator) anyNarrowRequest(m *Match, unusedGroup int64, unusedKeys []string, accept func(*Request) bool) bool {
	keys := unusedKeys
	if m.KeyPrefix != "" {
		keys = []string{m.KeyPrefix}
	}
	group := m.Group
	if m.AnyGroup {
		group = unusedGroup
	}
	for _, class := range v.classesOf(m) {
		for mask := range 4 {
			req := Request{Class: class, Group: group, Write: v.env.Settings.Classes[class].Consistency == balance.Write,
				Session: mask&1 != 0, ClientRetry: mask&2 != 0}
			if !m.Session.allows(req.Session) || !m.ClientRetry.allows(req.ClientRetry) {
				continue
			}
			for _, req.Key = range keys {
				if accept(&req) {
					return true
				}
			}
		}
	}
	return false
}
