package ring

import (
	"bytes"
	"errors"
	"flag"
	"io"
	"os"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets a fixed seed for generated inputs, so that each run has the same result. Flags on the command
// line take precedence.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20261")
	flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// The ring behaves like a plain slice of bytes.
func TestMatchesSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const initialSize, maxSize, budgetBytes = 8, 64, 40
		budget := NewBudget(budgetBytes)
		r := New(initialSize, maxSize, budget)
		var expected, next []byte
		randomBytes := func(n int) []byte {
			next = next[:0]
			for range n {
				next = append(next, byte(rapid.Byte().Draw(t, "byte")))
			}
			return next
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				p := randomBytes(rapid.IntRange(0, 20).Draw(t, "n"))
				n, err := r.Write(p)
				if fits := len(expected)+len(p) <= initialSize+budgetBytes; fits != (err == nil) || fits && n != len(p) {
					t.Fatalf("%d written of %d onto %d: %v", n, len(p), len(expected), err)
				}
				if err == nil {
					expected = append(expected, p...)
				}
			},
			"fill": func(t *rapid.T) {
				p := randomBytes(rapid.IntRange(1, 20).Draw(t, "n"))
				free := r.FreeSpace()
				n, err := r.Fill(bytes.NewReader(p))
				if free == 0 != errors.Is(err, ErrFull) || n > free || free > 0 && n == 0 {
					t.Fatalf("free space %d, filled %d: %v", free, n, err)
				}
				expected = append(expected, p[:n]...)
			},
			"need": func(t *rapid.T) {
				n := rapid.IntRange(0, maxSize+10).Draw(t, "n")
				if err := r.Reserve(n, time.Time{}); (err == nil) != (n <= initialSize+budgetBytes) {
					t.Fatalf("reserve %d: %v", n, err)
				}
			},
			"discard": func(t *rapid.T) {
				n := rapid.IntRange(0, len(expected)).Draw(t, "n")
				r.Discard(n)
				expected = expected[n:]
			},
			"read": func(t *rapid.T) {
				p := make([]byte, rapid.IntRange(1, 20).Draw(t, "n"))
				n, err := r.Read(p)
				if n != min(len(p), len(expected)) || (n == 0) != (err == io.EOF) || !bytes.Equal(p[:n], expected[:n]) {
					t.Fatalf("read %q of %q: %v", p[:n], expected, err)
				}
				expected = expected[n:]
			},
			"flush": func(t *rapid.T) {
				var destination bytes.Buffer
				if err := r.Flush(&destination); err != nil || !bytes.Equal(destination.Bytes(), expected) {
					t.Fatalf("flushed %q of %q: %v", destination.Bytes(), expected, err)
				}
				expected = nil
			},
			"": func(t *rapid.T) {
				n := rapid.IntRange(0, len(expected)).Draw(t, "front")
				if r.Len() != len(expected) || !bytes.Equal(r.Peek(n), expected[:n]) {
					t.Fatalf("holds %d, %q; want %q", r.Len(), r.Peek(n), expected)
				}
			},
		})
		r.Release()
		if !budget.available.TryAcquire(budgetBytes) {
			t.Fatal("not all of the budget was returned")
		}
	})
}

// A buffer that finds the budget spent waits until another returns its part, and no longer than its deadline.
func TestWaitsForBudget(t *testing.T) {
	budget := NewBudget(100)
	a, b := New(10, 200, budget), New(10, 200, budget)
	if err := a.Reserve(110, time.Time{}); err != nil {
		t.Fatal(err)
	}
	if err := b.Reserve(60, time.Now().Add(time.Millisecond)); err != ErrFull {
		t.Fatal(err)
	}
	reserved := make(chan error)
	go func() { reserved <- b.Reserve(60, time.Now().Add(time.Hour)) }()
	a.Release()
	if err := <-reserved; err != nil {
		t.Fatal(err)
	}
	if err := a.Reserve(200, time.Now().Add(time.Hour)); err != ErrFull {
		t.Fatal("a request for more than the whole budget was not refused:", err)
	}
}

// Bytes that could not be written stay in the buffer.
func TestFlushFails(t *testing.T) {
	r := New(8, 8, nil)
	r.Write([]byte("abc"))
	err := r.Flush(iotest.TruncateWriter(failing{}, 8))
	if err == nil || r.Len() != 3 {
		t.Fatal(err, r.Len())
	}
}

type failing struct{}

func (failing) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// A buffer grows with the bytes that have come, to twice their number at most; without budget it stays as it is, and so
// does what it has taken.
func TestReserveMore(t *testing.T) {
	budget := NewBudget(100)
	r := New(16, 1000, budget)
	for _, want := range []int{16, 32, 64} {
		if err := r.TryReserveMore(90); err != nil {
			t.Fatal(err)
		}
		if n, _ := r.Fill(bytes.NewReader(make([]byte, 1000))); r.Len() != want {
			t.Errorf("read %d, %d bytes in all, want %d", n, r.Len(), want)
		}
	}
	other := New(16, 1000, budget)
	other.Fill(bytes.NewReader(make([]byte, 16)))
	if err := other.TryReserveMore(1000); err != nil { // 16 of the 52 left
		t.Error(err)
	}
	if err := r.TryReserveMore(200); err != ErrFull || r.Len() != 64 { // 64 more of the 36 left
		t.Errorf("%d bytes without budget: %v", r.Len(), err)
	}
	if err := r.ReserveMore(90, time.Time{}); err != nil { // 74 in all of the 84 that the other one leaves
		t.Error(err)
	}
	r.Release()
	other.Release()
	if !budget.TryAcquire(100) {
		t.Error("not all of the budget is returned")
	}
	small := New(16, 20, nil)
	small.Fill(bytes.NewReader(make([]byte, 16)))
	if err := small.TryReserveMore(40); err != ErrFull {
		t.Errorf("a buffer grows beyond its size: %v", err)
	}
}

// A buffer is extended only while the budget keeps half of its bytes for others.
func TestTryExtend(t *testing.T) {
	budget := NewBudget(100)
	r := New(16, 20, budget)
	for _, want := range []int{16, 32, 60} {
		if n, _ := r.Fill(bytes.NewReader(make([]byte, 1000))); r.Len() != want {
			t.Fatalf("read %d, %d bytes in all, want %d", n, r.Len(), want)
		}
		if err := r.TryExtend(60); (err == nil) != (want < 60) {
			t.Errorf("extended beyond %d bytes of 60: %v", want, err)
		}
	}
	other := New(16, 20, budget)
	other.Fill(bytes.NewReader(make([]byte, 16)))
	if err := other.TryExtend(60); err != ErrFull { // 44 bytes are taken, and 50 are for others
		t.Errorf("extended with too little left: %v", err)
	}
	r.Discard(60)
	if !budget.TryAcquire(100) {
		t.Error("not all of the budget is returned")
	}
}
