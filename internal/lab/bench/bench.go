// Package bench is the test that stand-ins want, for programs that measure.
package bench

import (
	"log"
	"os"
	"slices"
)

// Bench ends the program at any failure that ends a test, tells the others, and cleans up at its end either way.
type Bench struct{ cleanups []func() }

// Helper does nothing.
func (*Bench) Helper() {}

// Fatal cleans up and ends the program.
func (b *Bench) Fatal(args ...any) {
	b.End()
	log.Fatal(args...)
}

// Error and Errorf tell a failure.
func (*Bench) Error(args ...any)                 { log.Print(args...) }
func (*Bench) Errorf(format string, args ...any) { log.Printf(format, args...) }

// Failed is whether logs are wanted at the end; they are not.
func (*Bench) Failed() bool { return false }

// Cleanup has something done at the end, the latest first.
func (b *Bench) Cleanup(f func()) { b.cleanups = append(b.cleanups, f) }

// TempDir is a folder until the end.
func (b *Bench) TempDir() string {
	dir, err := os.MkdirTemp("", "sedgestream-bench")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// End cleans up.
func (b *Bench) End() {
	for _, f := range slices.Backward(b.cleanups) {
		f()
	}
	b.cleanups = nil
}
