// Package plan decides how planners and forwarders work together: how much each forwarder may send to a node, and for how
// long (leases); which planner is responsible for a group; whether a planner was stalled; which notice on a node is the
// newest; and when a node that several forwarders see fail is ejected by all.
//
// The package does no I/O and reads no clock: every call gets the caller's own monotonic time in nanoseconds, and never that
// of another machine. Its types are independent of each other; whoever runs a planner or a forwarder combines them. Nothing
// here is safe for concurrent use.
package plan

// RunID identifies one run of a process, from its start to its end; a planner that has stalled begins a new run. RunIDs are
// random and only compared for equality: the clocks of machines jump, so numbers taken from them would not show which run is
// later.
type RunID uint64

// FloorDivisor sets the floor of a pledged share: the share divided by FloorDivisor. The owner may use the floor whatever
// becomes of its lease; planners never lend it.
const FloorDivisor = 4

// floorOf returns the floor of a share. It never exceeds the share.
func floorOf(share int64) int64 { return share / FloorDivisor }

// Stalled reports whether a planner, which should tick once per period, has missed several ticks. What it knows of its pools
// is then outdated, so it has to begin a new run.
func Stalled(lastTick, now, period int64) bool { return now-lastTick > stallPeriods*period }

const stallPeriods = 4

// minReportsPerTerm is how many reports a forwarder sends per term at least. So a planner's answer shows within half a term
// that the planner is alive, and votes of its failure quorum don't expire.
const minReportsPerTerm = 2

// ReportDue reports whether a forwarder has to send a report now: if anything has changed, while it wants leases or sees a
// node fail, or if it has sent none for half a term. So hundreds of forwarders that have nothing to report cost planners
// little.
func ReportDue(now, lastReport, term int64, changed, wantsLease, failing bool) bool {
	return changed || wantsLease || failing || now-lastReport >= term/minReportsPerTerm
}

// EjectedUntil returns until when a node stays ejected that a planner reports as failed now: until the next report has been
// answered.
func EjectedUntil(now, term, period int64) int64 { return now + term/minReportsPerTerm + 2*period }
