package logwriter

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"
)

// pipe is an output that blocks while its mutex is held.
type pipe struct {
	mu  sync.Mutex
	got bytes.Buffer
}

func (p *pipe) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.got.Write(b)
}

// Records are written whole and in order, and Sync waits for them.
func TestRecordsInOrder(t *testing.T) {
	out := &pipe{}
	w := New(out, func(int) { t.Error("records were dropped") })
	go w.Run()
	var want bytes.Buffer
	for i := range 1000 {
		record := fmt.Appendf(nil, "record %d\n", i)
		w.Write(record)
		want.Write(record)
	}
	w.Sync()
	if got := out.got.String(); got != want.String() {
		t.Errorf("%d bytes were written, want %d", len(got), want.Len())
	}
	start := time.Now()
	if w.Sync(); time.Since(start) > syncTimeout/2 {
		t.Error("Sync waits although nothing is pending")
	}
}

// A blocked output blocks no caller, the buffer stays within its bound, and dropped records are reported
// once the output continues, each of them once: in one report, or in two where the buffer overflowed before its
// first batch was taken.
func TestStalledOutput(t *testing.T) {
	t.Run("the writer runs before the first record", func(t *testing.T) { testStalledOutput(t, 0) })
	t.Run("the writer runs once records have been dropped", func(t *testing.T) { testStalledOutput(t, 1500) })
}

// testStalledOutput logs records while the output is blocked, the given number of them before the writer runs.
func testStalledOutput(t *testing.T, beforeRun int) {
	const records, size = 3000, 200
	out := &pipe{}
	reported := make(chan int, records)
	w := New(out, func(records int) { reported <- records })
	out.mu.Lock()
	start := time.Now()
	record := append(bytes.Repeat([]byte{'x'}, size-1), '\n')
	for range beforeRun {
		w.Write(record)
	}
	go w.Run()
	for beforeRun > 0 && !isWriting(w) {
		time.Sleep(time.Millisecond)
	}
	for range records - beforeRun {
		w.Write(record)
	}
	w.Sync()
	if took := time.Since(start); took > 3*syncTimeout {
		t.Errorf("writing took %v", took)
	}
	out.mu.Unlock()
	dropped := <-reported
	w.Sync()
	for reports := len(reported); reports > 0; reports-- {
		dropped += <-reported
	}
	if got := out.got.Len(); got != (records-dropped)*size || got > 2*maxPendingBytes {
		t.Errorf("%d bytes were written, and %d records dropped", got, dropped)
	}
}

// isWriting reports whether the writer has taken a batch that it has not written yet.
func isWriting(w *Writer) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writing
}
