package plan

// Jury decides whether a node is to be left alone by all, from what forwarders saw of it lately. Each has one voice, however
// much traffic it has, and only if it tried; so one with a broken link condemns nobody, and neither do two of many.
type Jury struct {
	span int64
	of   map[string]map[Life]voice
}

type voice struct {
	at     int64
	failed bool
}

const (
	quorum     = 2       // voices at the least
	against    = 2.0 / 3 // of the voices, to condemn
	mostVoices = 1024    // of a node
)

// NewJury counts voices for so long.
func NewJury(span int64) *Jury { return &Jury{span, map[string]map[Life]voice{}} }

// Saw takes in what a forwarder saw of a node: failures only, or answers.
func (j *Jury) Saw(now int64, node string, by Life, failed bool) {
	vs := j.of[node]
	if vs == nil {
		if len(j.of) >= MostNotices {
			return
		}
		vs = map[Life]voice{}
		j.of[node] = vs
	}
	if _, known := vs[by]; known || len(vs) < mostVoices {
		vs[by] = voice{now, failed}
	}
}

// Condemned tells whether the node is to be left alone.
func (j *Jury) Condemned(now int64, node string) bool {
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
	return bad >= quorum && float64(bad) >= against*float64(all)
}
