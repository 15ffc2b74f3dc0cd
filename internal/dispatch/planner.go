package dispatch

import (
	"cmp"
	"hash/crc32"
	"slices"

	"go.uber.org/zap"

	"sedgestream/balance"
	"sedgestream/internal/decide/plan"
	"sedgestream/internal/settings"
)

// EnablePlanner makes the dispatcher take planners' notices about nodes into account besides the list. It
// must be called before the first list.
func (d *Dispatcher) EnablePlanner() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notices, d.listedNodes = plan.NewNoticeBoard(), map[string]ListedNode{}
}

// Notices returns the newest notice about each node, sorted by node: reports of an unchanged state are equal
// byte for byte.
func (d *Dispatcher) Notices() (notices []plan.Notice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notices.Each(func(n plan.Notice) { notices = append(notices, n) })
	slices.SortFunc(notices, func(a, b plan.Notice) int { return cmp.Compare(a.Node, b.Node) })
	return notices
}

// ApplyNotices applies planners' notices about nodes. Notices about nodes that this router's own list has not
// named are kept until it names them. A notice never returns a node to service; only the router's own list does.
func (d *Dispatcher) ApplyNotices(notices []plan.Notice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	for _, notice := range notices {
		if !d.notices.Apply(notice) || notice.Standing == balance.Active {
			continue
		}
		listed, isListed := d.listedNodes[notice.Node]
		number, known := d.nodeNumbers[notice.Node]
		if !isListed || !known || listed.StartedAt != notice.StartedAt || listed.Standing >= notice.Standing {
			continue
		}
		listed.Standing = notice.Standing
		d.listedNodes[notice.Node] = listed
		d.log.Info("a planner's word", zap.String("node", notice.Node), zap.Uint64("version", notice.Version),
			zap.Uint8("standing", uint8(notice.Standing)))
		d.router.BeginListUpdate(false)
		d.router.UpdateNode(now, number, settings.AssignIndex(d.groupIndexes, listed.Group), settings.AssignIndex(d.zoneIndexes, listed.Zone),
			crc32.ChecksumIEEE([]byte(listed.ID)), listed.Standing, listed.Weight, listed.StartedAt, listed.Primary)
		d.router.EndListUpdate(now)
	}
}

// ColdNode is a cold node, for which planners grant work. Work is in microseconds within the overload window
// of the settings.
type ColdNode struct {
	Node          string
	Group         int64
	Share, Wanted int64 // the work that this router may send the node without a grant, and would send if the node were warm
	MinRequest    int64 // the work of the smallest request
}

// ColdNodes returns all nodes that are warming up.
func (d *Dispatcher) ColdNodes() (nodes []ColdNode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	for number, name := range d.nodeNames {
		if name == "" {
			continue
		}
		if share, wanted, minRequest := d.router.WorkShare(now, number); share > 0 {
			nodes = append(nodes, ColdNode{name, d.listedNodes[name].Group, int64(share / 1e3), int64(wanted / 1e3),
				int64(minRequest / 1e3)})
		}
	}
	return nodes
}

// GrantWork limits what a cold node may be sent: to so many microseconds of work until grantEnd, and to a part
// of this router's own share from then until partEnd. Both are times of the dispatcher's clock.
func (d *Dispatcher) GrantWork(node string, work int64, part float64, grantEnd, partEnd int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if number, known := d.nodeNumbers[node]; known {
		d.router.SetGrant(number, float64(work)*1e3, part, grantEnd, partEnd)
	}
}

// Eject excludes a replica from routing until a time of the dispatcher's clock.
func (d *Dispatcher) Eject(node string, until int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if number, known := d.nodeNumbers[node]; known {
		d.router.Eject(d.Now(), number, until)
	}
}

// NodeObservation is what this router itself has observed of a node: that it has ejected the node as failed,
// or had an answer from it.
type NodeObservation struct {
	Node             string
	Standing         balance.NodeState
	Failed, Answered bool
}

// Observations returns one observation for each listed node. Only answers within the span, in nanoseconds, count.
func (d *Dispatcher) Observations(span int64) (observations []NodeObservation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	for number, name := range d.nodeNames {
		if name != "" {
			failed, answered := d.router.NodeHealth(now, number, span)
			observations = append(observations, NodeObservation{name, d.listedNodes[name].Standing, failed, answered})
		}
	}
	return observations
}
