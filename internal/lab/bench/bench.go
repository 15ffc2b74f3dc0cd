// Package bench implements standin.TB for programs that use stand-ins outside of tests.
package bench

import (
	"log"
	"os"
	"slices"
	"sync"
)

// TB ends the program at a failure that would end a test, logs other failures, and runs the cleanups in both cases.
type TB struct {
	mu       sync.Mutex
	cleanups []func()
}

// Helper does nothing.
func (*TB) Helper() {}

// Fatal runs the cleanups and exits the program.
func (b *TB) Fatal(args ...any) {
	b.Close()
	log.Fatal(args...)
}

// Error and Errorf log a failure.
func (*TB) Error(args ...any)                 { log.Print(args...) }
func (*TB) Errorf(format string, args ...any) { log.Printf(format, args...) }

// Failed returns false, so that stand-ins print no logs at the end.
func (*TB) Failed() bool { return false }

// Cleanup registers a function that Close calls; several goroutines may. The functions run in reverse order.
func (b *TB) Cleanup(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cleanups = append(b.cleanups, f)
}

// TempDir creates a directory that Close removes.
func (b *TB) TempDir() string {
	dir, err := os.MkdirTemp("", "sedgestream-bench")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// Close runs the registered cleanups.
func (b *TB) Close() {
	for _, f := range slices.Backward(b.cleanups) {
		f()
	}
	b.cleanups = nil
}
