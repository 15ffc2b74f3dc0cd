package plan

import "sedgestream/balance"

// NoticeBoard holds the newest notice on each node, whether it comes from discovery's list or from a planner. Which notice is
// newer depends on when the node started and on the version of the list behind the notice, never on when it arrived. So
// notices may arrive late, twice, out of order, and from planners with lists of different ages; and once a notice says that
// a node drains, no older notice undoes that.
type NoticeBoard struct {
	notices map[string]*Notice // by node
}

// Notice is the state of a node in some version of discovery's list.
type Notice struct {
	Node      string
	StartedAt int64  `msgpack:"Born" json:"Born"` // when the node started, by the list; tells its runs apart
	Version   uint64 // of the list
	Standing  balance.NodeState
}

// MaxNotices bounds the number of nodes on a board; notices on further nodes are dropped.
const MaxNotices = 4096

// NewNoticeBoard returns an empty board.
func NewNoticeBoard() *NoticeBoard { return &NoticeBoard{notices: map[string]*Notice{}} }

// supersedes reports whether the notice replaces the other one: by a later start of the node, then by a later version, and
// within one version by the state further from active (removed, draining, active), since a list that is sent in parts gives
// the state nearest to active first.
func (n *Notice) supersedes(other *Notice) bool {
	if n.StartedAt != other.StartedAt {
		return n.StartedAt > other.StartedAt
	}
	if n.Version != other.Version {
		return n.Version > other.Version
	}
	return n.Standing > other.Standing
}

// Apply merges a notice into the board, and reports whether the node's start or state has changed by it.
func (b *NoticeBoard) Apply(notice Notice) (changed bool) {
	current := b.notices[notice.Node]
	if current == nil {
		if len(b.notices) >= MaxNotices {
			return false
		}
		b.notices[notice.Node] = &notice
		return true
	}
	if !notice.supersedes(current) {
		return false
	}
	changed = notice.Standing != current.Standing || notice.StartedAt != current.StartedAt
	*current = notice
	return changed
}

// Get returns the newest notice on a node.
func (b *NoticeBoard) Get(node string) (notice Notice, ok bool) {
	if current := b.notices[node]; current != nil {
		return *current, true
	}
	return notice, false
}

// Each calls f with every notice, in no particular order.
func (b *NoticeBoard) Each(f func(Notice)) {
	for _, notice := range b.notices {
		f(*notice)
	}
}

// Delete removes a node. The node should have left so long ago that all planners and forwarders know.
func (b *NoticeBoard) Delete(node string) { delete(b.notices, node) }
