// Package ring is the buffer between a socket and a parser: one for each direction of a connection.
package ring

import (
	"errors"
	"io"
	"sync"
)

// ErrFull tells that more was to be kept than the buffer, or the budget of all buffers, may hold.
var ErrFull = errors.New("ring: full")

// Budget bounds what all buffers that share it hold beyond their first size.
type Budget struct {
	mu   sync.Mutex
	left int
}

// NewBudget is a budget of so many bytes.
func NewBudget(bytes int) *Budget { return &Budget{left: bytes} }

func (b *Budget) take(n int) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < n {
		return false
	}
	b.left -= n
	return true
}

func (b *Budget) give(n int) {
	if b != nil && n > 0 {
		b.mu.Lock()
		b.left += n
		b.mu.Unlock()
	}
}

// Ring holds bytes in the order in which they came. It is not for several goroutines at once.
type Ring struct {
	buf         []byte
	at, held    int
	first, most int
	budget      *Budget
	beyond      int // bytes had from the budget
}

// New is an empty buffer that begins with the first size and never holds more than the most.
func New(first, most int, budget *Budget) *Ring {
	return &Ring{first: first, most: max(first, most), budget: budget}
}

// Len is how many bytes it holds.
func (r *Ring) Len() int { return r.held }

// Need makes room so that it can hold so many bytes in all.
func (r *Ring) Need(n int) error {
	if n <= len(r.buf) {
		return nil
	}
	size := r.first
	if n > r.first {
		size = min(r.most, max(n, 2*len(r.buf)))
		if n > r.most || !r.budget.take(size-r.first-r.beyond) {
			return ErrFull
		}
		r.beyond = size - r.first
	}
	larger := make([]byte, size)
	r.copyTo(larger)
	r.buf, r.at = larger, 0
	return nil
}

func (r *Ring) copyTo(to []byte) {
	k := copy(to, r.buf[r.at:min(r.at+r.held, len(r.buf))])
	copy(to[k:], r.buf[:r.held-k])
}

// Front is the first n bytes held, in one piece. It is valid until the next call that changes the buffer.
func (r *Ring) Front(n int) []byte {
	if n > r.held {
		n = r.held
	}
	if r.at+n > len(r.buf) {
		straight := make([]byte, len(r.buf))
		r.copyTo(straight)
		r.buf, r.at = straight, 0
	}
	return r.buf[r.at : r.at+n]
}

// Discard drops the first n bytes. Emptied, the buffer goes back to its first size.
func (r *Ring) Discard(n int) {
	n = min(n, r.held)
	r.held -= n
	r.at += n
	if r.at >= len(r.buf) {
		r.at -= len(r.buf)
	}
	if r.held == 0 {
		r.at = 0
		if r.beyond > 0 {
			r.Free()
		}
	}
}

// Free drops all, and gives back what it had of the budget.
func (r *Ring) Free() {
	r.budget.give(r.beyond)
	r.buf, r.at, r.held, r.beyond = nil, 0, 0, 0
}

// Fill reads once from the source into the room left.
func (r *Ring) Fill(from io.Reader) (int, error) {
	if r.held == len(r.buf) {
		if err := r.Need(r.held + 1); err != nil {
			return 0, err
		}
	}
	end := r.at + r.held
	room := r.buf[min(end, len(r.buf)):]
	if end >= len(r.buf) {
		room = r.buf[end-len(r.buf) : r.at]
	}
	n, err := from.Read(room)
	r.held += n
	return n, err
}

// Write puts bytes behind those held.
func (r *Ring) Write(p []byte) (int, error) {
	if err := r.Need(r.held + len(p)); err != nil {
		return 0, err
	}
	end := r.at + r.held
	if end >= len(r.buf) {
		end -= len(r.buf)
	}
	k := copy(r.buf[end:], p)
	copy(r.buf, p[k:])
	r.held += len(p)
	return len(p), nil
}

// Read takes bytes from the front.
func (r *Ring) Read(p []byte) (int, error) {
	if r.held == 0 {
		return 0, io.EOF
	}
	n := min(len(p), r.held)
	k := copy(p[:n], r.buf[r.at:])
	copy(p[k:n], r.buf)
	r.Discard(n)
	return n, nil
}

// Flush writes all to the destination.
func (r *Ring) Flush(to io.Writer) error {
	for r.held > 0 {
		n, err := to.Write(r.buf[r.at:min(r.at+r.held, len(r.buf))])
		r.Discard(n)
		if err != nil {
			return err
		}
	}
	return nil
}
