package ring

import (
	"bytes"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// usedBytes returns what is taken from a budget of so many bytes.
func usedBytes(budget *Budget, total int) int {
	for free := total; free > 0; free-- {
		if budget.TryAcquire(free) {
			budget.Release(free)
			return total - free
		}
	}
	return total
}

// Detached messages keep their bytes while the buffer, and others that get recycled memory, are written to, and the budget counts
// the memory of both.
func TestDetachedMessagesKeepTheirBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 1 << 20
		budget := NewBudget(total)
		r := New(InitialSize, total, budget)
		var memories []*Memory
		var contents [][]byte
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			size := rapid.SampledFrom([]int{1, InitialSize, InitialSize + 1, 9_000, 66_000, 140_000}).Draw(t, "size")
			behind := rapid.SampledFrom([]int{0, 1, InitialSize, InitialSize + 1}).Draw(t, "bytes behind")
			content := bytes.Repeat([]byte{byte(len(contents) + 1)}, size)
			if _, err := r.Write(append(bytes.Clone(content), make([]byte, behind)...)); err != nil {
				break // the budget is spent
			}
			memories, contents = append(memories, r.Detach(size)), append(contents, content)
			if r.Len() != behind {
				t.Fatalf("%d bytes are left, want %d", r.Len(), behind)
			}
			r.Discard(behind)
			if i := rapid.IntRange(0, 2*len(memories)).Draw(t, "recycled"); i < len(memories) && memories[i].Bytes() != nil {
				memories[i].Recycle()
				contents[i] = nil
			}
			for i, memory := range memories {
				if !bytes.Equal(memory.Bytes(), contents[i]) {
					t.Fatalf("message %d has changed", i)
				}
			}
		}
		for _, memory := range memories {
			memory.Release()
			memory.Release()
		}
		r.Release()
		if used := usedBytes(budget, total); used != 0 {
			t.Fatalf("%d bytes were not returned", used)
		}
	})
}

// A message that is not copied is counted once, and its share is returned at last when nobody refers to it.
func TestDetachedMessageIsCountedOnce(t *testing.T) {
	const total, size = 1 << 20, 66_000
	budget := NewBudget(total)
	r := New(InitialSize, total, budget)
	r.Write(make([]byte, size))
	memory := r.Detach(size)
	if used := usedBytes(budget, total); used != size {
		t.Errorf("%d bytes are counted, want %d", used, size)
	}
	runtime.KeepAlive(memory)
	memory = nil
	for end := time.Now().Add(10 * time.Second); usedBytes(budget, total) > 0; runtime.GC() {
		if time.Now().After(end) {
			t.Fatal("its share was not returned")
		}
	}
}
