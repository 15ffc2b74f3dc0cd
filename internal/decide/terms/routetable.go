package terms

import (
	"time"

	"sedgestream/balance"
)

// RouteTable is a compiled draft: it says which route a request takes and which policy applies to it. It never changes.
type RouteTable struct {
	index       *index
	routes      []Route
	zone        *time.Location
	seasons     []Season
	env         *Environment
	unusedGroup int64 // a group that no route names
}

// Route is one route of a table.
type Route struct {
	table       *RouteTable
	Name        string
	Match       Match
	policies    []Policy // the default one, then those of seasons
	seasons     []int    // seasons of policies[1:], as indexes into the table's seasons
	state       *routeState
	active      int   // index of the policy that applies now
	activeUntil int64 // until when active is known to hold; 0: not looked up yet
	learns      bool  // some policy of the route uses a quantile of its latencies
}

// routeState is what a route has counted and learned. It belongs to the route's name, so it is handed on from table to table.
type routeState struct {
	inFlight    int
	budget      retryBudget
	hedgeCredit hedgeCredit
	latencies   sketch
	cached      [2]cachedQuantile // of the attempt timeout and of the delay of hedged attempts
}

// cachedQuantile is the last quantile that was looked up in the sketch. A value of 0 means too few samples.
type cachedQuantile struct {
	quantile float64
	value    int64
}

// Compile makes a route table of a draft in which Validate found no violation.
func Compile(draft *Draft, env *Environment) *RouteTable {
	table := &RouteTable{zone: draft.Zone, seasons: draft.Seasons, env: env, routes: make([]Route, len(draft.Routes))}
	if table.zone == nil {
		table.zone = time.UTC
	}
	matches := make([]Match, len(draft.Routes))
	groups := map[int64]bool{}
	for i := range draft.Routes {
		from := &draft.Routes[i]
		env.yieldAt(i)
		matches[i] = from.Match
		groups[from.Match.Group] = true
		r := &table.routes[i]
		*r = Route{table: table, Name: from.Name, Match: from.Match, policies: []Policy{from.Default}, state: &routeState{}}
		for _, s := range from.Seasonal {
			r.policies, r.seasons = append(r.policies, s.Policy), append(r.seasons, s.Season)
		}
		for k := range r.policies {
			r.learns = r.learns || r.policies[k].AttemptTimeout.Quantile > 0 || r.policies[k].HedgeDelay.Quantile > 0
		}
	}
	for table.unusedGroup = 0; groups[table.unusedGroup]; table.unusedGroup++ {
	}
	table.index = newIndex(matches)
	return table
}

// unusedKeys returns keys that match as few key prefixes as possible: a single key that matches none, or, if there is no
// such key, every key of one printable byte.
func (t *RouteTable) unusedKeys() (keys []string) {
	used := map[byte]bool{}
	for i := range t.routes {
		if prefix := t.routes[i].Match.KeyPrefix; prefix != "" {
			used[prefix[0]] = true
		}
	}
	for c := byte('!'); c <= '~'; c++ {
		if c == '\'' {
			continue
		}
		if !used[c] {
			return []string{string(rune(c))}
		}
		keys = append(keys, string(rune(c)))
	}
	return keys
}

// Inherit gives the routes the state of the routes of the same name in the previous table. Both tables may be in use.
func (t *RouteTable) Inherit(previous *RouteTable) {
	if previous == nil {
		return
	}
	known := make(map[string]*routeState, len(previous.routes))
	for i := range previous.routes {
		known[previous.routes[i].Name] = previous.routes[i].state
	}
	for i := range t.routes {
		if state := known[t.routes[i].Name]; state != nil {
			t.routes[i].state = state
		}
	}
}

// Len returns the number of routes.
func (t *RouteTable) Len() int { return len(t.routes) }

// Find returns the route that the request takes, or nil. It is safe for concurrent use.
func (t *RouteTable) Find(req *Request) *Route {
	if k := t.index.find(req); k >= 0 {
		return &t.routes[k]
	}
	return nil
}

// activePolicy returns the policy that applies now.
func (r *Route) activePolicy(now int64) *Policy {
	if len(r.seasons) > 0 && now >= r.activeUntil {
		r.active, r.activeUntil = r.table.activeSeason(r.seasons, now)
	}
	return &r.policies[r.active]
}

// activeSeason returns which of the given seasons holds now, counted from 1, or 0 for none, and until when that stays so.
func (t *RouteTable) activeSeason(seasons []int, now int64) (active int, until int64) {
	for i, s := range seasons {
		in, end := t.seasons[s].activeAt(now, t.zone)
		if in {
			return i + 1, end
		}
		if i == 0 || end < until {
			until = end
		}
	}
	return 0, until
}

// Admit counts a request whose client waits for the given time as in flight on the route, and returns the terms that apply
// to it until its last attempt: the time in which it must be served, and what the balancer may do with it. The caller must
// call Release in the end.
func (r *Route) Admit(now, wait int64) (admission Admission) {
	policy, state := r.activePolicy(now), r.state
	admission.route, admission.policy = r, policy
	if admission.Timeout = wait; policy.HardLimit > 0 {
		admission.Timeout = min(wait, policy.HardLimit)
	}
	if window := policy.BudgetWindow; policy.BudgetShare > 0 {
		state.budget.setWindow(window)
	}
	state.inFlight++
	t := &admission.Terms
	*t = balance.Terms{MaxAttempts: int32(policy.MaxAttempts), Refused: policy.MaxInFlight > 0 && state.inFlight > policy.MaxInFlight,
		NoHedging: policy.NoHedging, NeedsGrant: policy.BudgetShare > 0 || policy.HedgeShare > 0, SameZone: policy.RetryInZone,
		RetryOn: uint16(policy.RetryOn), RetryPause: policy.BackoffBase, MaxRetryPause: policy.BackoffCap,
		RetryJitter: int64(policy.Jitter * balance.ShareScale), AttemptTimeShare: int64(policy.AttemptTimeout.Share * balance.ShareScale),
		AttemptTimeout: r.resolve(&policy.AttemptTimeout, 0), MinRetryAfter: policy.MinRetryAfter, MaxRetryAfter: policy.MaxRetryAfter}
	if t.HedgeDelay = r.resolve(&policy.HedgeDelay, 1); policy.HedgeDelay.Share > 0 {
		t.HedgeDelay = max(1, int64(policy.HedgeDelay.Share*float64(admission.Timeout)))
	}
	return admission
}

// resolve returns the duration that a specification gives now; 0 for a share, which depends on the request. A quantile
// stays at its ceiling until there are enough samples. slot is the cache entry to use.
func (r *Route) resolve(spec *TimeSpec, slot int) int64 {
	if spec.Quantile == 0 {
		return spec.Fixed
	}
	latencies, cached := &r.state.latencies, &r.state.cached[slot]
	if latencies.sinceRefresh >= refreshInterval || cached.quantile != spec.Quantile {
		if latencies.sinceRefresh >= refreshInterval {
			latencies.sinceRefresh = 0
			r.state.cached[1-slot].quantile = 0 // look up the other one anew as well
		}
		cached.quantile, cached.value = spec.Quantile, 0
		if value, ok := latencies.quantile(spec.Quantile); ok {
			cached.value = value
		}
	}
	if cached.value == 0 {
		return spec.Ceiling
	}
	return min(max(cached.value, spec.Floor), spec.Ceiling)
}

// Admission is a request in progress on its route, under the policy that applied when it arrived. The zero value is that of a
// request without a route.
type Admission struct {
	Timeout int64 // ns
	Terms   balance.Terms
	route   *Route
	policy  *Policy
}

// FirstAttemptSent counts the request's first attempt.
func (a *Admission) FirstAttemptSent(now int64) {
	if a.route == nil {
		return
	}
	state := a.route.state
	state.budget.countFirst(now)
	if a.policy.HedgeShare > 0 {
		state.hedgeCredit.earn(a.policy.HedgeShare)
	}
}

// GrantExtraAttempt reports whether the request may have another attempt under the budget, and, if that is a hedged attempt,
// under the share of hedged attempts as well. It counts the attempts that it grants.
func (a *Admission) GrantExtraAttempt(now int64, isHedge bool) bool {
	if a.route == nil {
		return true
	}
	state, policy := a.route.state, a.policy
	limited := isHedge && policy.HedgeShare > 0
	if limited && !state.hedgeCredit.available() ||
		policy.BudgetShare > 0 && !state.budget.grantExtra(now, policy.BudgetShare, policy.BudgetFloor) {
		return false
	}
	if limited {
		state.hedgeCredit.spend()
	}
	return true
}

// AttemptEnded adds the latency of an attempt to the route's samples. An attempt that timed out would have taken longer, so
// it counts as twice its timeout: a timeout that is too short for the route doubles until answers arrive.
func (a *Admission) AttemptEnded(outcome balance.Outcome, latency int64) {
	if a.route == nil || !a.route.learns {
		return
	}
	switch outcome {
	case balance.Succeeded:
		a.route.state.latencies.add(latency)
	case balance.TimedOut:
		a.route.state.latencies.add(2 * latency)
	}
}

// Release ends the request's admission.
func (a *Admission) Release() {
	if a.route != nil {
		a.route.state.inFlight--
		*a = Admission{}
	}
}

// RouteName returns the name of the route, or "".
func (a *Admission) RouteName() string {
	if a.route == nil {
		return ""
	}
	return a.route.Name
}
