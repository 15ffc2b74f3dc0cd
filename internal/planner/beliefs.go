package planner

import (
	"cmp"
	"errors"
	"slices"

	"sedgestream/internal/message"
)

// errForgotten ends a connection whose earlier reports have been dropped, because the planner or the forwarder was paused
// for long. The first report of the next connection is full.
var errForgotten = errors.New("a partial report, but the earlier ones have been dropped")

// forwarder is the state of a forwarder by its latest reports. A report carries what has changed; only the first one of a
// connection is full.
type forwarder struct {
	name       string
	lastReport int64
	beliefs    []message.NodeBelief // ordered by node
}

// update applies a report.
func (f *forwarder) update(now int64, report *message.Report) {
	f.lastReport = now
	if report.Full {
		f.beliefs = nil
	}
	for _, node := range report.Forgotten {
		if i, known := f.find(node); known {
			f.beliefs = slices.Delete(f.beliefs, i, i+1)
		}
	}
	for _, belief := range report.Beliefs {
		i, known := f.find(belief.Node)
		switch {
		case known:
			f.beliefs[i] = belief
		case len(f.beliefs) < message.MaxNodes:
			f.beliefs = slices.Insert(f.beliefs, i, belief)
		}
	}
}

// find returns the index of a node's belief, or where to insert it.
func (f *forwarder) find(node string) (i int, known bool) {
	byNode := func(belief message.NodeBelief, node string) int { return cmp.Compare(belief.Node, node) }
	return slices.BinarySearchFunc(f.beliefs, node, byNode)
}
