package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"sedgestream/internal/standin"
)

// Program is the program to run as a router: the built one, or a test's own binary with an environment
// variable.
type Program struct {
	Path string
	Env  []string
}

// startCommand starts the program as the deploy file does, with SIGHUP ignored: a reload in the first
// milliseconds, before the program handles that signal, must not end it.
const startCommand = `trap '' HUP; exec "$0"`

// router is one router: an address, a configuration file, and its successive processes.
type router struct {
	index      int
	address    string
	configFile string
	program    Program
	recorder   *recorder

	configMu sync.Mutex // held while the configuration file is written, as several events may write it

	mu        sync.Mutex
	processes []*process
	discovery string // address of discovery in the file
	knownList string // the list in the file
	current   int    // number of the process that new connections go to; -1: none
}

// process is a running or exited process of a router.
type process struct {
	Process
	cmd     *exec.Cmd
	logFile string // path of its log file
	exited  chan struct{}
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t standin.TB) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// configuration returns the content of the router's configuration file.
func (r *router) configuration(scenario *Scenario) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("n%d", r.index), "listen": r.address, "discovery": r.discovery,
		"seed":   fmt.Sprintf("%016x", scenario.Seed*31+uint64(r.index)+1),
		"limits": map[string]any{"cores": 1, "memory_mb": memoryLimitMB, "sockets": descriptorLimit},
		"known":  json.RawMessage(r.knownList), "settings": scenario.settings(r.index)})
	if err != nil {
		panic(err) // all values are of types that JSON can represent
	}
	return text
}

// writeConfig writes the configuration file, or only the first half of it if truncated. A complete file
// replaces the old one atomically, and has the values that are newest when it does.
func (r *router) writeConfig(scenario *Scenario, truncated bool) error {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	text := r.configuration(scenario)
	if truncated {
		return os.WriteFile(r.configFile, text[:len(text)/2], 0o600)
	}
	newFile := r.configFile + ".new"
	if err := os.WriteFile(newFile, text, 0o600); err != nil {
		return err
	}
	return os.Rename(newFile, r.configFile)
}

// start writes the configuration file and starts the router's next process.
func (r *router) start(tb standin.TB, scenario *Scenario) *process {
	if err := r.writeConfig(scenario, false); err != nil {
		tb.Fatal(err)
	}
	r.mu.Lock()
	started := &process{cmd: exec.Command("/bin/sh", "-c", startCommand, r.program.Path), exited: make(chan struct{})}
	started.Router, started.Number, started.StartedAt = r.index, len(r.processes), time.Now()
	r.mu.Unlock()
	started.logFile = filepath.Join(filepath.Dir(r.configFile), fmt.Sprintf("n%d.%d.log", r.index, started.Number))
	log, err := os.Create(started.logFile)
	if err != nil {
		tb.Fatal(err)
	}
	defer log.Close()
	started.cmd.Env = append(append(os.Environ(), "ROUTER_CONFIG="+r.configFile), r.program.Env...)
	started.cmd.Stderr, started.cmd.Dir = log, filepath.Dir(r.configFile)
	if err := started.cmd.Start(); err != nil {
		tb.Fatal(err)
	}
	r.mu.Lock()
	r.processes = append(r.processes, started)
	r.mu.Unlock()
	go func() {
		err := started.cmd.Wait()
		r.mu.Lock()
		started.ExitedAt = time.Now()
		if err != nil {
			started.Err = err.Error()
		}
		r.mu.Unlock()
		close(started.exited)
	}()
	go r.recordCPUWaits(started)
	tb.Cleanup(func() { started.cmd.Process.Kill() })
	return started
}

// waitUntilReady waits until the process answers an empty query, and then sends new connections to it. As the
// previous process may still listen at the same address, an answer counts only once this one has logged that it
// serves.
func (r *router) waitUntilReady(process *process) {
	for {
		select {
		case <-process.exited:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if process.loggedServing() && r.answersQuery() {
			r.mu.Lock()
			process.ReadyAt = time.Now()
			r.current = process.Number
			r.mu.Unlock()
			return
		}
	}
}

// loggedServing reports whether the process has logged that it serves.
func (p *process) loggedServing() bool {
	text, err := os.ReadFile(p.logFile)
	return err == nil && bytes.Contains(text, []byte(`"msg":"serving"`))
}

// answersQuery reports whether the router answers an empty query.
func (r *router) answersQuery() bool {
	conn, err := net.DialTimeout("tcp", r.address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	client := standin.NewClient(silentTB{}, conn)
	if !client.Startup() {
		return false
	}
	answer, err := client.Query("")
	return err == nil && answer == "empty"
}

// signal sends a signal to the process, which may have exited.
func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// recordUsage records the memory and descriptors that a process uses.
func (r *router) recordUsage(process *process) {
	pid := process.cmd.Process.Pid
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	memory := int64(0)
	if _, after, ok := strings.Cut(string(status), "VmHWM:"); ok {
		fields := strings.Fields(after)
		kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
		memory = kilobytes * 1024
	}
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	r.mu.Lock()
	defer r.mu.Unlock()
	process.PeakMemory, process.PeakDescriptors = max(process.PeakMemory, memory), max(process.PeakDescriptors, len(open))
}

// minCPUWait is the shortest wait for a CPU that is recorded.
const minCPUWait = 20 * time.Millisecond

// threadCPUWaits returns for how long each thread of a process has waited for a CPU so far, by
// /proc/PID/task/TID/schedstat.
func threadCPUWaits(pid int) map[string]time.Duration {
	waits := map[string]time.Duration{}
	dir := fmt.Sprintf("/proc/%d/task", pid)
	threads, _ := os.ReadDir(dir)
	for _, thread := range threads {
		text, _ := os.ReadFile(filepath.Join(dir, thread.Name(), "schedstat"))
		if fields := strings.Fields(string(text)); len(fields) == 3 {
			wait, _ := strconv.ParseInt(fields[1], 10, 64)
			waits[thread.Name()] = time.Duration(wait)
		}
	}
	return waits
}

// watchCPUWaits reports each interval in which a thread of a process waited for a CPU for at least minCPUWait,
// until stop is closed.
func watchCPUWaits(pid int, stop <-chan struct{}, report func(from, to time.Time, wait time.Duration)) {
	before, from := threadCPUWaits(pid), time.Now()
	for {
		select {
		case <-stop:
			return
		case <-time.After(cpuWaitInterval):
		}
		after, to := threadCPUWaits(pid), time.Now()
		longest := time.Duration(0)
		for thread, wait := range after {
			longest = max(longest, wait-before[thread])
		}
		if longest >= minCPUWait {
			report(from, to, longest)
		}
		before, from = after, to
	}
}

// recordCPUWaits records when a process waits for a CPU, until it exits.
func (r *router) recordCPUWaits(process *process) {
	watchCPUWaits(process.cmd.Process.Pid, process.exited, func(from, to time.Time, wait time.Duration) {
		r.recorder.withRecord(func(record *Record) { record.CPUWaits = append(record.CPUWaits, CPUWait{r.index, from, to, wait}) })
	})
}

// cpuWaitInterval is the sampling interval of CPU waits.
const cpuWaitInterval = 50 * time.Millisecond

// silentTB is a TB that ignores failures, for clients that may fail.
type silentTB struct{}

func (silentTB) Helper()               {}
func (silentTB) Fatal(...any)          {}
func (silentTB) Error(...any)          {}
func (silentTB) Errorf(string, ...any) {}
func (silentTB) Cleanup(func())        {}
func (silentTB) TempDir() string       { return os.TempDir() }
func (silentTB) Failed() bool          { return false }
