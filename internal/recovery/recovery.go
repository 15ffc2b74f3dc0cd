// Package recovery starts the goroutines of the program, so that a panic in one of them ends only its own
// task.
package recovery

import (
	"time"

	"go.uber.org/zap"
)

// Go runs a task in a new goroutine. A panic is logged with its stack, and then failed is called unless it is
// nil: it has to answer whoever waits for the result of the task.
func Go(log *zap.Logger, task string, run func(), failed func()) {
	go Run(log, task, run, failed)
}

// Run runs a task in the caller's goroutine, as Go does in a new one, and reports whether it ended without
// a panic.
func Run(log *zap.Logger, task string, run func(), failed func()) (completed bool) {
	defer func() {
		if completed {
			return
		}
		if cause := recover(); cause != nil {
			log.Error("a task failed", zap.String("task", task), zap.Any("panic", cause), zap.Stack("stack"))
		}
		if failed != nil {
			failed()
		}
	}()
	run()
	return true
}

// AfterFunc runs a task in a new goroutine after a delay, as time.AfterFunc does, and recovers a panic.
func AfterFunc(log *zap.Logger, task string, after time.Duration, run func()) *time.Timer {
	return time.AfterFunc(after, func() { Run(log, task, run, nil) })
}
