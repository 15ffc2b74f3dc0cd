package scale

import (
	"fmt"

	"sedgestream/internal/lab/capacity"
)

// FromTarget derives the size of a run from a fraction of the target: all its databases, and that fraction of its routers. Of these
// routers, real is the number that run as processes; it returns the number of the others, which are hollow.
func FromTarget(size string, real int) (hollow, databases int, err error) {
	fraction, err := capacity.ParseFraction(size)
	if err != nil {
		return 0, 0, err
	}
	routers := int(fraction*float64(capacity.Goal.Routers) + 0.5)
	if routers < real {
		return 0, 0, fmt.Errorf("%s of the target are %d routers, fewer than the %d real ones", size, routers, real)
	}
	return routers - real, capacity.Goal.Databases, nil
}
