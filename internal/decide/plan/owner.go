package plan

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Owner is which of the planners answers for a group: by rendezvous hashing (Thaler, Ravishankar 1998), so that a planner
// that goes or comes moves its own groups only. "" of none.
func Owner(group int64, planners []string) (best string) {
	var top uint64
	var text [32]byte
	for _, p := range planners {
		var d xxhash.Digest
		d.Reset()
		d.WriteString(p)
		d.Write(strconv.AppendInt(append(text[:0], '/'), group, 10))
		if h := d.Sum64(); best == "" || h > top || h == top && p < best {
			best, top = p, h
		}
	}
	return best
}
