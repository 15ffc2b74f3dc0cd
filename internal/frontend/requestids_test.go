package frontend

import (
	"strconv"
	"testing"
)

// However many ids are abandoned, the newest are remembered, and no more than two generations of them.
func TestAbandonedIDsAreBounded(t *testing.T) {
	ids := newRequestIDs()
	const count = 5 * maxAbandonedIDs
	for i := range count {
		ids.abandon(strconv.Itoa(i))
	}
	for i := count - maxAbandonedIDs; i < count; i++ {
		if ids.claim(strconv.Itoa(i)) {
			t.Fatalf("id %d of %d was claimed again", i, count)
		}
	}
	if n := len(ids.abandoned.recent) + len(ids.abandoned.older); n > 2*maxAbandonedIDs {
		t.Errorf("%d ids are remembered, want %d at most", n, 2*maxAbandonedIDs)
	}
	if !ids.claim("0") {
		t.Error("an id that was abandoned long ago can't be claimed")
	}
}
