package forward

import (
	"slices"

	"sedgestream/internal/decide/plan"
	"sedgestream/internal/message"
)

// reportDelta remembers what one planner has been sent over its connection, so that a report carries only what has changed
// since. Full reports would dominate the cost of control traffic with hundreds of databases and routers: a report on a full
// list of 590 nodes takes 49 kB. A reportDelta belongs to one connection, which keeps reports in order, and is not safe for
// concurrent use.
type reportDelta struct {
	started bool
	notices map[string]plan.Notice        // by node
	beliefs map[string]message.NodeBelief // by node
}

func newReportDelta() *reportDelta {
	return &reportDelta{notices: map[string]plan.Notice{}, beliefs: map[string]message.NodeBelief{}}
}

// next reduces a report to what the planner has not been sent yet, and remembers that as sent. The first report of a
// connection is full: the planner then drops what it has from an earlier connection.
func (d *reportDelta) next(report message.Report) message.Report {
	report.Full = !d.started
	d.started = true
	report.Forgotten = d.forgotten(report.Beliefs)
	report.Notices = changed(d.notices, report.Notices, func(notice plan.Notice) string { return notice.Node })
	report.Beliefs = changed(d.beliefs, report.Beliefs, func(belief message.NodeBelief) string { return belief.Node })
	return report
}

// forgotten returns the nodes on which a belief was sent and that have none any more, and drops them from what was sent.
func (d *reportDelta) forgotten(beliefs []message.NodeBelief) (nodes []string) {
	current := make(map[string]bool, len(beliefs))
	for _, belief := range beliefs {
		current[belief.Node] = true
	}
	for node := range d.beliefs {
		if !current[node] {
			nodes = append(nodes, node)
			delete(d.beliefs, node)
			delete(d.notices, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}

// changed returns the items that differ from what was last sent on their nodes, and records them as sent.
func changed[T comparable](sent map[string]T, items []T, node func(T) string) (differing []T) {
	for _, item := range items {
		name := node(item)
		if last, known := sent[name]; known && last == item {
			continue
		}
		sent[name] = item
		differing = append(differing, item)
	}
	return differing
}
