package service

import "go.uber.org/zap"

// exitFailed is the exit status of a program that could not continue.
const exitFailed = 1

// ExitError reports that the program could not continue. It has already been logged, as the last record.
type ExitError struct {
	Phase    Phase
	Location string // the file, and the member in it, that caused the error
	Err      error
}

func (e *ExitError) Error() string { return string(e.Phase) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// Status returns the exit status of the process.
func (e *ExitError) Status() int { return exitFailed }

// logExit logs why the program cannot continue, as the last record and at level error, and returns the
// ExitError.
func logExit(log *zap.Logger, phase Phase, location string, err error) error {
	exitErr := &ExitError{Phase: phase, Location: location, Err: err}
	log.Error("exit", zap.String("phase", string(phase)), zap.String("reason", err.Error()), zap.String("place", exitErr.Location),
		zap.Int("status", exitErr.Status()))
	return exitErr
}
