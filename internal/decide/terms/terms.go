// Package terms decides what the requests of a route may ask of the router, within what the settings allow: how long an
// attempt may take, how often and after which backoff a request is retried, when it may have a hedged attempt (a
// "second copy" in files and messages), how many requests may be in flight, and for how long a rejected client may be asked
// to stay away.
//
// The package does no I/O and reads no clock. A Draft, read from an operator's file, is validated against an Environment
// and compiled into a RouteTable. The table finds the Route of a request; the route gives the balance.Terms when the
// request arrives, counts its attempts, and learns from their latencies. A RouteTable never changes, but the state of its
// routes is handed on to the next table (Inherit). Calls on routes are not safe for concurrent use; Find is.
package terms

import (
	"time"

	"sedgestream/balance"
)

// Limits on the contents of a file, which bound the size of a route table and the work per request.
const (
	MaxRoutes    = 20_000
	MaxSeasons   = 64
	MaxKeyPrefix = 64 // bytes
)

// Requirement says whether a request must have a property, must not have it, or may have it.
type Requirement uint8

// The requirements.
const (
	Any Requirement = iota
	Yes
	No
)

// allows reports whether a request that has the property, or lacks it, meets the requirement.
func (r Requirement) allows(has bool) bool { return r == Any || (r == Yes) == has }

// Request holds the properties by which a route is selected.
type Request struct {
	Class       int
	Group       int64 // the number that clients use for the group
	Write       bool
	Key         string // key of the object
	Session     bool   // the request carries the last commit of its session
	ClientRetry bool   // the client marks the request as a retry
}

// Match says which requests a route is for. The zero value of every field but Class and Group matches any request.
type Match struct {
	Class       int // below 0: any class
	Group       int64
	AnyGroup    bool
	Write       Requirement
	KeyPrefix   string
	Session     Requirement
	ClientRetry Requirement
}

// Matches reports whether the request fits the match.
func (m *Match) Matches(req *Request) bool { return m.mismatch(req) == "" }

// mismatch returns the name, as files spell it, of the first member of the match that the request does not meet, or "".
func (m *Match) mismatch(req *Request) string {
	switch {
	case len(req.Key) < len(m.KeyPrefix) || req.Key[:len(m.KeyPrefix)] != m.KeyPrefix:
		return "key"
	case m.Class >= 0 && m.Class != req.Class:
		return "tariff"
	case !m.AnyGroup && m.Group != req.Group:
		return "group"
	case !m.Write.allows(req.Write):
		return "statement"
	case !m.Session.allows(req.Session):
		return "session"
	case !m.ClientRetry.allows(req.ClientRetry):
		return "again"
	}
	return ""
}

// TimeSpec specifies a duration: a fixed one, a share of the time that remains until the deadline, or a quantile of the
// route's own latencies, bounded by a floor and a ceiling. Durations are in nanoseconds. The zero value specifies none.
type TimeSpec struct {
	Fixed          int64
	Share          float64
	Quantile       float64
	Floor, Ceiling int64
}

// IsSet reports whether a duration is specified.
func (s *TimeSpec) IsSet() bool { return s.Fixed > 0 || s.Share > 0 || s.Quantile > 0 }

// upperBound returns the longest duration that the specification can give, if the given time remains until the deadline.
func (s *TimeSpec) upperBound(remaining int64) int64 {
	switch {
	case s.Fixed > 0:
		return min(s.Fixed, remaining)
	case s.Share > 0:
		return min(int64(s.Share*float64(remaining)), remaining)
	case s.Quantile > 0:
		return min(s.Ceiling, remaining)
	}
	return remaining
}

// lowerBound returns the shortest duration that the specification can give, or 0 if that depends on the deadline alone.
func (s *TimeSpec) lowerBound() int64 {
	if s.Quantile > 0 {
		return s.Floor
	}
	return s.Fixed
}

// OutcomeSet is a set of outcomes of attempts, one bit each.
type OutcomeSet uint16

// SingleOutcome returns the set that holds only the given outcome.
func SingleOutcome(o balance.Outcome) OutcomeSet { return 1 << o }

// MayHaveRun holds the outcomes after which a node may have run the request.
const MayHaveRun = OutcomeSet(1<<balance.Failed | 1<<balance.TimedOut | 1<<balance.ConnectionLost)

// Policy is one set of terms: timeouts, retries, hedged attempts and limits of the requests of a route. A zero field sets
// nothing. Times are in nanoseconds.
type Policy struct {
	HardLimit               int64    // deadline, counted from arrival; the client's own applies if it is earlier
	AttemptTimeout          TimeSpec // timeout of each attempt
	MaxAttempts             int      // including hedged attempts
	RetryOn                 OutcomeSet
	BackoffBase, BackoffCap int64    // pause before a retry, doubled for each further one up to BackoffCap
	Jitter                  float64  // random part of a pause
	RetryInZone             bool     // retries stay in the zone of the first attempt that may have run
	RetryScopeSet           bool     // the file says whether retries stay in the zone
	HedgeDelay              TimeSpec // age of an attempt at which a hedged one may be sent
	NoHedging               bool
	HedgeShare              float64 // share of requests that may have a hedged attempt
	BudgetShare             float64 // extra attempts per first attempt within BudgetWindow; 0: no limit
	BudgetWindow            int64
	BudgetFloor             int // extra attempts within BudgetWindow that a low-traffic route has in any case
	MaxInFlight             int
	MinRetryAfter           int64 // shortest time for which a rejection asks the client to stay away
	MaxRetryAfter           int64 // longest such time

	// RoutePath and SeasonPath are JSON pointers to the terms of the route and to those of the season. A member stands
	// under SeasonPath if it is in Overrides.
	RoutePath, SeasonPath string
	Overrides             []string
}

// Draft is the content of a file of terms; each member conforms to the schema of such files.
type Draft struct {
	Zone    *time.Location
	Seasons []Season
	Routes  []DraftRoute
}

// DraftRoute is one route of a draft: its default policy and those that hold in seasons.
type DraftRoute struct {
	Path       string // JSON pointer
	Name       string
	Match      Match
	MatchValid bool // the match was read without an error, so it can be compared with others
	Default    Policy
	Seasonal   []SeasonalPolicy
}

// SeasonalPolicy is a policy that holds in a season.
type SeasonalPolicy struct {
	Season int // index into the draft's seasons; below 0: unknown season, already reported
	Policy Policy
}

// Violation says what is wrong with a draft, and where: Path is a JSON pointer into the file.
type Violation struct{ Path, Reason string }

// Environment is what a draft is validated against.
type Environment struct {
	Settings *balance.Settings
	Classes  []string       // names of the classes, by index
	MaxWaits []int64        // longest time that clients of each class wait, in ns; 0: unknown
	Groups   map[int64]bool // nil: unknown
	Yield    func()         // called now and then during long work, to let other goroutines run; may be nil
}

// yieldAt calls Yield after every 64th step of a long loop.
func (e *Environment) yieldAt(step int) {
	if step%64 == 63 && e.Yield != nil {
		e.Yield()
	}
}

// maxDuration returns the longest time that a request of the class can last under the policy; 0: unknown.
func (e *Environment) maxDuration(class int, policy *Policy) int64 {
	wait := int64(0)
	if class < len(e.MaxWaits) {
		wait = e.MaxWaits[class]
	}
	if policy.HardLimit > 0 && (wait == 0 || policy.HardLimit < wait) {
		return policy.HardLimit
	}
	return wait
}
