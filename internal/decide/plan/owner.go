package plan

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the planner that is responsible for a group, or "" if there are no planners. It uses rendezvous hashing
// (Thaler, Ravishankar 1998), so only the groups of a planner that joins or leaves change their owner.
func Owner(group int64, planners []string) (owner string) {
	var highest uint64
	var buf [32]byte
	for _, planner := range planners {
		var digest xxhash.Digest
		digest.Reset()
		digest.WriteString(planner)
		digest.Write(strconv.AppendInt(append(buf[:0], '/'), group, 10))
		if hash := digest.Sum64(); owner == "" || hash > highest || hash == highest && planner < owner {
			owner, highest = planner, hash
		}
	}
	return owner
}
