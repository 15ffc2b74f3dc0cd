package ring

import (
	"runtime"
	"sync/atomic"
)

// Memory is a message that has been detached from a buffer, with its share of the buffer's budget. The share is returned by
// Release or Recycle, or else once nobody refers to the memory any more.
type Memory struct {
	message []byte
	buffer  []byte // holds the message
	share   *budgetShare
}

// budgetShare is a part of a budget.
type budgetShare struct {
	budget *Budget
	bytes  atomic.Int64 // 0 once returned
}

// release returns the share to its budget, once.
func (s *budgetShare) release() { s.budget.release(s.bytes.Swap(0)) }

// Bytes returns the message.
func (m *Memory) Bytes() []byte { return m.message }

// Release returns the share of the budget. The message can still be read, for as long as somebody refers to it. It does nothing for nil.
// It is safe for concurrent use.
func (m *Memory) Release() {
	if m != nil {
		m.share.release()
	}
}

// Recycle is Release for the only one that refers to the message, who must not use it afterwards.
func (m *Memory) Recycle() {
	m.Release()
	if m != nil && m.buffer != nil {
		recycle(m.buffer)
		m.buffer, m.message = nil, nil
	}
}

// newMemory returns the memory of a message that lies in a buffer and has so many bytes of a budget.
func newMemory(message, buffer []byte, budget *Budget, budgetBytes int64) *Memory {
	share := &budgetShare{budget: budget}
	share.bytes.Store(budgetBytes)
	memory := &Memory{message: message, buffer: buffer, share: share}
	runtime.AddCleanup(memory, (*budgetShare).release, share)
	return memory
}

// Detach removes the first n bytes from the buffer and returns them. If the buffer has grown for them they are not copied, and what
// follows them moves to a buffer of the initial size. Where more follows, they are copied, and counted if the budget allows.
func (r *Ring) Detach(n int) *Memory {
	message := r.Peek(n)
	if r.budgetBytes == 0 || r.length-n > r.initialSize {
		return r.detachCopy(message)
	}
	budgetBytes := r.budgetBytes
	if r.budget.TryAcquire(r.initialSize) { // which the budget does not count as long as the buffer has it
		budgetBytes += int64(r.initialSize)
	}
	memory := newMemory(message, r.buf, r.budget, budgetBytes)
	r.start += n
	r.length -= n
	rest := allocate(r.initialSize)
	r.copyTo(rest)
	r.buf, r.start, r.budgetBytes = rest, 0, 0
	return memory
}

// detachCopy is Detach for a message at the front that has to be copied.
func (r *Ring) detachCopy(message []byte) *Memory {
	buffer := allocate(len(message))
	copy(buffer, message)
	budgetBytes := int64(0)
	if r.budget.TryAcquire(len(message)) {
		budgetBytes = int64(len(message))
	}
	r.Discard(len(message))
	return newMemory(buffer, buffer, r.budget, budgetBytes)
}

// Payload is the content of an answer: messages that are written one after another. Of these a long one may lie in memory of its own.
type Payload struct {
	Head []byte
	Long *Memory // nil: none
	Tail []byte  // behind Long
}

// Append appends a copy of some bytes.
func (p *Payload) Append(b []byte) {
	if p.Long == nil {
		p.Head = append(p.Head, b...)
	} else {
		p.Tail = append(p.Tail, b...)
	}
}
