package main

import (
	"math/rand/v2"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Condition is what runs beside the plays of a test.
type Condition string

// The conditions.
const (
	Alone   Condition = "alone"
	Busy    Condition = "beside busy processes"
	Stopped Condition = "stopped now and then"
)

// Durations of the stops of a play, and of the pauses between them.
const (
	shortestStop  = 50 * time.Millisecond
	longestStop   = 150 * time.Millisecond
	shortestPause = 200 * time.Millisecond
	longestPause  = 2 * time.Second
)

// busyEnvironment marks a process of this program that only uses a processor.
const busyEnvironment = "KNOWNRED_BUSY_PROCESS"

// spin uses a processor until the process is killed or its parent has ended.
func spin() {
	parent := os.Getppid()
	for os.Getppid() == parent {
		for end := time.Now().Add(time.Second); time.Now().Before(end); {
		}
	}
}

// startBusyProcesses starts processes that each use a processor, and returns a function that ends them.
func startBusyProcesses(count int) (stop func(), err error) {
	var started []*exec.Cmd
	stop = func() {
		for _, command := range started {
			command.Process.Kill()
			command.Wait()
		}
	}
	program, err := os.Executable()
	if err != nil {
		return stop, err
	}
	for range count {
		command := exec.Command(program)
		command.Env = append(os.Environ(), busyEnvironment+"=1")
		if err := command.Start(); err != nil {
			stop()
			return stop, err
		}
		started = append(started, command)
	}
	return stop, nil
}

// processGroup has a command's processes form a group of their own, so that all of them can be stopped together.
func processGroup() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }

// stopNowAndThen stops all processes of a group for a moment again and again, at times drawn from the seed, until
// ended is closed.
func stopNowAndThen(group int, seed uint64, ended <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, 0))
	for {
		if !waitFor(between(random, shortestPause, longestPause), ended) {
			return
		}
		syscall.Kill(-group, syscall.SIGSTOP)
		goesOn := waitFor(between(random, shortestStop, longestStop), ended)
		syscall.Kill(-group, syscall.SIGCONT)
		if !goesOn {
			return
		}
	}
}

// waitFor waits for a duration, and returns false at once if ended is closed before.
func waitFor(duration time.Duration, ended <-chan struct{}) bool {
	select {
	case <-ended:
		return false
	case <-time.After(duration):
		return true
	}
}

// between draws a duration from a range.
func between(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}
