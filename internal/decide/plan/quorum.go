package plan

// FailureQuorum decides whether a node is to be left alone by all, from what forwarders saw of it lately. Each has one vote, however
// much traffic it has, and only if it tried; so one with a broken link condemns nobody, and neither do two of many.
type FailureQuorum struct {
	span int64
	of   map[string]map[Life]vote
}

type vote struct {
	at     int64
	failed bool
}

const (
	minVotes    = 2       // votes at the least
	failedShare = 2.0 / 3 // of the votes, to condemn
	maxVotes    = 1024    // of a node
)

// NewFailureQuorum counts voices for so long.
func NewFailureQuorum(span int64) *FailureQuorum {
	return &FailureQuorum{span, map[string]map[Life]vote{}}
}

// Saw takes in what a forwarder saw of a node: failures only, or answers.
func (j *FailureQuorum) Saw(now int64, node string, by Life, failed bool) {
	vs := j.of[node]
	if vs == nil {
		if len(j.of) >= MostNotices {
			return
		}
		vs = map[Life]vote{}
		j.of[node] = vs
	}
	if _, known := vs[by]; known || len(vs) < maxVotes {
		vs[by] = vote{now, failed}
	}
}

// Condemned tells whether the node is to be left alone.
func (j *FailureQuorum) Condemned(now int64, node string) bool {
	all, bad := 0, 0
	vs := j.of[node]
	for l, v := range vs {
		if now-v.at > j.span {
			delete(vs, l)
			continue
		}
		if all++; v.failed {
			bad++
		}
	}
	if len(vs) == 0 {
		delete(j.of, node)
	}
	return bad >= minVotes && float64(bad) >= failedShare*float64(all)
}
