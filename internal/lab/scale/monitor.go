package scale

import (
	"fmt"
	"os"
	"sync"
	"time"

	"sedgestream/internal/lab/fleet"
)

// Limits is what a run may use of its machine.
type Limits struct {
	Memory    float64 // resident memory of all its processes, in MB
	Processes int     // processes that it starts
}

// monitorInterval is the time between two samples.
const monitorInterval = time.Second

// resourceMonitor samples the resources of a run, and keeps the first violation of a limit.
type resourceMonitor struct {
	limits    Limits
	processes func() []int
	stop      chan struct{}
	done      sync.WaitGroup

	mu           sync.Mutex
	maxMemory    float64 // MB
	maxProcesses int     // at the same time
	excess       error
}

// startMonitor starts a monitor of this process and of those that processes returns.
func startMonitor(limits Limits, processes func() []int) *resourceMonitor {
	m := &resourceMonitor{limits: limits, processes: processes, stop: make(chan struct{})}
	m.done.Add(1)
	go func() {
		defer m.done.Done()
		ticker := time.NewTicker(monitorInterval)
		defer ticker.Stop()
		for {
			select {
			case <-m.stop:
				return
			case <-ticker.C:
				m.sample()
			}
		}
	}()
	return m
}

// sample adds up this process and those that it started.
func (m *resourceMonitor) sample() {
	pids := m.processes()
	memory := fleet.UsageOf(os.Getpid()).Memory
	for _, pid := range pids {
		memory += fleet.UsageOf(pid).Memory
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maxMemory, m.maxProcesses = max(m.maxMemory, memory), max(m.maxProcesses, len(pids))
	if m.excess != nil {
		return
	}
	if memory > m.limits.Memory {
		m.excess = fmt.Errorf("scale: %.0f MB resident, more than %.0f", memory, m.limits.Memory)
	}
	if len(pids) > m.limits.Processes {
		m.excess = fmt.Errorf("scale: %d processes, more than %d", len(pids), m.limits.Processes)
	}
}

// err is the first violation of a limit, or nil.
func (m *resourceMonitor) err() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.excess
}

// close stops the monitor.
func (m *resourceMonitor) close() {
	close(m.stop)
	m.done.Wait()
}

// alivePIDs returns those process ids whose process still exists.
func alivePIDs(pids []int) (alive []int) {
	for _, pid := range pids {
		if _, err := os.Stat(fmt.Sprintf("/proc/%d", pid)); err == nil {
			alive = append(alive, pid)
		}
	}
	return alive
}
