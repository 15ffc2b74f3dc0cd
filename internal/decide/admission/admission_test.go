package admission

import (
	"testing"

	"pgregory.net/rapid"
)

// Requests in hand never take more than the limit, pipelined ones never bring them over their share of it, and none is
// turned away that fits.
func TestMemoryStaysWithinItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 100).Draw(t, "limit")
		memory := NewMemory(limit)
		var inHand []int64
		used := int64(0)
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			if len(inHand) > 0 && rapid.Bool().Draw(t, "ends") {
				used -= inHand[0]
				memory.Release(inHand[0])
				inHand = inHand[1:]
				continue
			}
			bytes, pipelined := rapid.Int64Range(1, 20).Draw(t, "bytes"), rapid.Bool().Draw(t, "pipelined")
			allowed := limit
			if pipelined {
				allowed = limit / 2
			}
			want := used+bytes <= allowed
			if got := memory.Admit(bytes, pipelined); got != want {
				t.Fatalf("%d bytes beside %d of %d (pipelined: %v): admitted %v, want %v", bytes, used, limit, pipelined, got, want)
			}
			if want {
				used += bytes
				inHand = append(inHand, bytes)
			}
		}
		if memory.Used() != used {
			t.Fatalf("%d bytes are counted as used, want %d", memory.Used(), used)
		}
	})
}

// Without a limit every request is admitted.
func TestMemoryWithoutLimit(t *testing.T) {
	if !NewMemory(0).Admit(1<<40, true) {
		t.Error("a request was turned away without a limit")
	}
}
