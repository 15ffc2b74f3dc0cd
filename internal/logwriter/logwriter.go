// Package logwriter writes a log without blocking the goroutines that log: a bounded buffer holds records
// while a goroutine writes them. A log whose reader is slow or gone must not stop the program.
package logwriter

import (
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes bounds the buffered records; further ones are dropped and counted.
	maxPendingBytes = 256 << 10
	// syncTimeout is how long Sync waits at most.
	syncTimeout = time.Second
)

// Writer is the buffered output of a log. It is safe for concurrent use.
type Writer struct {
	out io.Writer

	mu        sync.Mutex
	pending   []byte        // whole records
	spare     []byte        // buffer of the last batch, to be reused
	dropped   int           // records
	wake      chan struct{} // signals that records are pending
	drained   chan struct{} // closed once all pending records have been written; nil while nobody waits
	writing   bool          // a batch is being written
	onDropped func(records int)
}

// New returns a Writer to out. onDropped is called with the number of dropped records once there is room
// again; it may log. The caller has to run Run.
func New(out io.Writer, onDropped func(records int)) *Writer {
	return &Writer{out: out, onDropped: onDropped, wake: make(chan struct{}, 1)}
}

// Write buffers one whole record. It never blocks or fails.
func (w *Writer) Write(record []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(record) > maxPendingBytes {
		w.dropped++
		return len(record), nil
	}
	w.pending = append(w.pending, record...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(record), nil
}

// Run writes the records and does not return. Errors of the output are ignored, since there is nowhere to
// log them.
func (w *Writer) Run() {
	for range w.wake {
		for batch := w.nextBatch(); len(batch) > 0; batch = w.nextBatch() {
			w.out.Write(batch)
		}
	}
}

// nextBatch returns the pending records, and reports those that were dropped before.
func (w *Writer) nextBatch() []byte {
	w.mu.Lock()
	batch, dropped := w.pending, w.dropped
	w.pending, w.spare = w.spare[:0], batch
	w.dropped = 0
	w.writing = len(batch) > 0
	if !w.writing && w.drained != nil {
		close(w.drained)
		w.drained = nil
	}
	w.mu.Unlock()
	if dropped > 0 {
		w.onDropped(dropped)
	}
	return batch
}

// Sync waits until the records before it have been written, or until syncTimeout.
func (w *Writer) Sync() error {
	w.mu.Lock()
	if !w.writing && len(w.pending) == 0 {
		w.mu.Unlock()
		return nil
	}
	if w.drained == nil {
		w.drained = make(chan struct{})
	}
	drained := w.drained
	w.mu.Unlock()
	select {
	case <-drained:
	case <-time.After(syncTimeout):
	}
	return nil
}
