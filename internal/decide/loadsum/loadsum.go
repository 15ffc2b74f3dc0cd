// Package loadsum estimates the load that all routers together put on nodes: a router measures its own attempts
// (Meter), a planner adds up the reports of all routers (Aggregator), and a router selects among the sums of several
// planners (PlannerViews).
//
// One router among hundreds has no attempt in flight at a given node most of the time, so it learns little from its
// own. The sum over all routers is what a single proxy for all traffic would know, a few hundred milliseconds late.
// No rule depends on it: a sum that is missing, late or wrong only makes the load less even, and its effect fades.
//
// The package does no I/O and reads no clock: every call gets the caller's monotonic time in nanoseconds. Nothing
// here is safe for concurrent use.
package loadsum

// Bounds of reports and digests.
const (
	MaxNodeLoads = 64   // nodes in a router's report
	MaxSummaries = 64   // nodes in a digest, however many there are
	MaxNodes     = 4096 // nodes that an aggregator tracks
	MaxRouters   = 1 << 14
	MaxInFlight  = 1 << 16 // attempts in flight at a node
)
