package dispatch

import (
	"hash/crc32"
	"time"

	"sedgestream/balance"
	"sedgestream/internal/decide/plan"
	"sedgestream/internal/settings"
)

// ListedNode is a node as the list describes it.
type ListedNode struct {
	ID, Zone, Address string
	Group             int64
	Standing          balance.NodeState // in service, draining or removed
	Weight            float64
	StartedAt         int64 // Unix nanoseconds; 0: long ago
	Primary           bool
}

// UpdateList applies a full list, or changes of it, as of a version.
func (d *Dispatcher) UpdateList(version int64, full bool, nodes []ListedNode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	d.router.BeginListUpdate(full)
	for _, node := range nodes {
		node = d.withNewestStanding(version, node)
		number, known := d.nodeNumbers[node.ID]
		if !known && node.Standing == balance.Removed {
			continue
		} else if !known {
			number = d.assignNumber(node.ID)
		}
		d.registry.SetNode(number, node.ID, node.Address)
		d.router.UpdateNode(now, number, settings.AssignIndex(d.groupIndexes, node.Group), settings.AssignIndex(d.zoneIndexes, node.Zone),
			crc32.ChecksumIEEE([]byte(node.ID)), node.Standing, node.Weight, node.StartedAt, node.Primary)
	}
	d.router.EndListUpdate(now)
	// Forget nodes that have left: nodes come and go under ever new names, and memory must not grow with their
	// number.
	for number, name := range d.nodeNames {
		if name != "" && d.router.ForgetNode(now, number) {
			delete(d.nodeNumbers, name)
			d.nodeNames[number] = ""
			d.freeNumbers = append(d.freeNumbers, number)
			d.registry.RemoveNode(number)
			d.forgetLoad(number, name)
			if d.notices != nil {
				d.notices.Delete(name)
				delete(d.listedNodes, name)
			}
		}
	}
}

// withNewestStanding returns a listed node with the standing of the newest notice about it: an old list that
// has the node in service does not override a planner's notice that it drains.
func (d *Dispatcher) withNewestStanding(version int64, node ListedNode) ListedNode {
	if d.notices == nil {
		return node
	}
	d.notices.Apply(plan.Notice{Node: node.ID, StartedAt: node.StartedAt, Version: uint64(max(version, 0)), Standing: node.Standing})
	if notice, ok := d.notices.Get(node.ID); ok && notice.StartedAt == node.StartedAt {
		node.Standing = notice.Standing
	}
	if node.Address == "" {
		node.Address = d.listedNodes[node.ID].Address
	}
	if len(d.listedNodes) < plan.MaxNotices || d.listedNodes[node.ID].ID != "" {
		d.listedNodes[node.ID] = node
	}
	return node
}

// assignNumber gives a new node the number of one that has left, or the lowest number never used.
func (d *Dispatcher) assignNumber(id string) (number int) {
	if free := len(d.freeNumbers); free > 0 {
		number, d.freeNumbers = d.freeNumbers[free-1], d.freeNumbers[:free-1]
		d.nodeNames[number] = id
	} else {
		number, d.nodeNames = len(d.nodeNames), append(d.nodeNames, id)
	}
	d.nodeNumbers[id] = number
	d.indexHash(id, number)
	return number
}

// ListFailed tells the router that a call for the list failed, or that the watch ended.
func (d *Dispatcher) ListFailed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.ListFailed(d.Now())
}

// ListRefused tells the router that discovery was reached, and has refused a call.
func (d *Dispatcher) ListRefused() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.ListRefused()
}

// ListAnswered tells the router that discovery has answered a call which began the given time ago, whether or not the
// list follows.
func (d *Dispatcher) ListAnswered(ago time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	d.router.ListAnswered(now, now-int64(ago))
}

// ListUnanswered tells the router that a call to discovery, which began the given time ago and goes on, has had no answer.
func (d *Dispatcher) ListUnanswered(ago time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.ListUnanswered(d.Now() - int64(ago))
}

// ListUnreachable tells the router that a call to discovery, which began the given time ago, failed without an answer.
func (d *Dispatcher) ListUnreachable(ago time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.ListUnreachable(d.Now() - int64(ago))
}

// ListSourceChanged tells the router that the list comes from another discovery address from now on.
func (d *Dispatcher) ListSourceChanged() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.RefreshList(d.Now())
}
