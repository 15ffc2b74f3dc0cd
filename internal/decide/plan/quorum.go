package plan

// FailureQuorum decides, from what forwarders saw lately, whether a node has failed and all should eject it. Each forwarder
// has one vote, however much traffic it sends, and only if it tried the node. So a single forwarder with a broken link ejects
// no node, and neither do two out of many.
type FailureQuorum struct {
	validity int64                     // how long a vote counts, in ns
	votes    map[string]map[RunID]vote // by node and forwarder
}

// vote is what a forwarder last saw of a node.
type vote struct {
	at     int64
	failed bool
}

const (
	minVotes       = 2       // votes for a failure, at least
	minFailedShare = 2.0 / 3 // of all votes on the node
	maxVotes       = 1024    // per node
)

// NewFailureQuorum returns a quorum without votes; a vote counts for the given time.
func NewFailureQuorum(validity int64) *FailureQuorum {
	return &FailureQuorum{validity, map[string]map[RunID]vote{}}
}

// Record records a forwarder's vote on a node: failed if it saw only failures, not failed if it saw answers as well.
func (q *FailureQuorum) Record(now int64, node string, forwarder RunID, failed bool) {
	votes := q.votes[node]
	if votes == nil {
		if len(q.votes) >= MaxNotices {
			return
		}
		votes = map[RunID]vote{}
		q.votes[node] = votes
	}
	if _, known := votes[forwarder]; known || len(votes) < maxVotes {
		votes[forwarder] = vote{now, failed}
	}
}

// IsFailed reports whether the node has failed by the votes that still count.
func (q *FailureQuorum) IsFailed(now int64, node string) bool {
	all, failed := 0, 0
	votes := q.votes[node]
	for forwarder, v := range votes {
		if now-v.at > q.validity {
			delete(votes, forwarder)
			continue
		}
		if all++; v.failed {
			failed++
		}
	}
	if len(votes) == 0 {
		delete(q.votes, node)
	}
	return failed >= minVotes && float64(failed) >= minFailedShare*float64(all)
}
