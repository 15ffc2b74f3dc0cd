package fleet

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"sedgestream/internal/lab/day"
	"sedgestream/internal/message"
	"sedgestream/internal/standin/link"
)

// Cost is what the processes used during a measurement.
type Cost struct {
	Forwarders, Planners []float64 // CPU time of each process, in ms per second
	Memory               float64   // mean resident memory of a forwarder, in MB
	Datagrams, Bytes     float64   // of the membership, per instance and second
}

// Converged reports whether all processes have the same, correct view now.
func (h *Harness) Converged() bool { return h.converged() }

// MeasureCost measures the processes for a duration.
func (h *Harness) MeasureCost(duration time.Duration) (c Cost) {
	cpu := func() (ms []float64) {
		for _, proc := range h.allProcesses() {
			ms = append(ms, cpuMillis(proc.cmd.Process.Pid))
		}
		return ms
	}
	datagramTotals := func() (datagrams, bytes float64) {
		for _, proc := range h.allProcesses() {
			if view, err := h.queryFleet(proc); err == nil {
				datagrams, bytes = datagrams+float64(view.Counters.DatagramsOut), bytes+float64(view.Counters.BytesOut)
			}
		}
		return datagrams, bytes
	}
	datagrams0, bytes0 := datagramTotals()
	time.Sleep(2 * time.Second) // so that the cost of the queries is not measured
	begin, before := time.Now(), cpu()
	time.Sleep(duration)
	after, took := cpu(), time.Since(begin).Seconds()
	datagrams1, bytes1 := datagramTotals()
	n := float64(len(after))
	c.Datagrams, c.Bytes = (datagrams1-datagrams0)/n/(took+2), (bytes1-bytes0)/n/(took+2)
	for i := range after {
		cpuPerSecond := (after[i] - before[i]) / took
		if i < h.Planners {
			c.Planners = append(c.Planners, cpuPerSecond)
			continue
		}
		c.Forwarders = append(c.Forwarders, cpuPerSecond)
		c.Memory += residentMB(h.processes[i].cmd.Process.Pid) / float64(h.Routers)
	}
	return c
}

// cpuTickMillis is the unit of CPU time in /proc, in ms.
const cpuTickMillis = 10

// cpuMillis is the CPU time that a process has used, in ms.
func cpuMillis(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) * cpuTickMillis
}

// residentMB is the resident memory of a process, in MB.
func residentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(text))[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// MemberAddress is the advertised membership address of an instance.
func (h *Harness) MemberAddress(n int) string { return h.processes[n].relay.Address }

// Kill ends an instance by SIGKILL.
func (h *Harness) Kill(n int) { h.endProcess(h.processes[n], syscall.SIGKILL) }

// Terminate ends an instance by SIGTERM, so that it leaves in order.
func (h *Harness) Terminate(n int) { h.endProcess(h.processes[n], syscall.SIGTERM) }

// QueryFleet asks an instance for its view of the fleet.
func (h *Harness) QueryFleet(n int) (*message.FleetStatus, error) {
	return h.queryFleet(h.processes[n])
}

// ResidentMemory is the resident memory of an instance, in MB.
func (h *Harness) ResidentMemory(n int) float64 { return residentMB(h.processes[n].cmd.Process.Pid) }

// LastRequestAt is when a node received the last request from one of the selected routers; the zero time if it received none.
func (h *Harness) LastRequestAt(node int, routers func(number int) bool) (at time.Time) {
	names := map[string]bool{}
	for _, proc := range h.processes {
		names[proc.name] = routers(proc.number)
	}
	for _, ran := range h.Nodes[node].Executions() {
		if req := h.requests.byID[ran.ID]; req != nil && names[req.router] && ran.ReceivedAt.After(at) {
			at = ran.ReceivedAt
		}
	}
	return at
}

// ScenarioStart is when the scenario began.
func (h *Harness) ScenarioStart() time.Time { return h.scenarioStartedAt }

// FloodNames sends an instance invented member names, at a rate per second.
func (h *Harness) FloodNames(n int, perSecond float64, duration time.Duration) {
	fault := &day.Fault{Kind: day.FakeNames, Targets: []int{n}, Amount: perSecond, Duration: duration}
	h.applyFault(-1, fault, true)
	time.Sleep(duration)
	h.applyFault(-1, fault, false)
}

// Usage is the resources of a process: the CPU time since its start, and what it holds now.
type Usage struct {
	CPU         float64 // ms
	Memory      float64 // MB resident
	Descriptors int
}

// UsageOf reads the usage of a process from /proc.
func UsageOf(pid int) Usage {
	usage := Usage{CPU: cpuMillis(pid), Memory: residentMB(pid)}
	if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		usage.Descriptors = len(open)
	}
	return usage
}

// Usage is the usage of an instance.
func (h *Harness) Usage(n int) Usage { return UsageOf(h.processes[n].cmd.Process.Pid) }

// Flow is the traffic of one direction. Bytes are without the headers of IP, UDP and TCP.
type Flow struct {
	Messages float64 `json:"messages"`
	Bytes    float64 `json:"bytes"`
}

// sub is the flow since an earlier moment.
func (f Flow) sub(before Flow) Flow {
	return Flow{f.Messages - before.Messages, f.Bytes - before.Bytes}
}

// add adds the frames and bytes that a relay has counted.
func (f *Flow) add(count *link.FrameCount) {
	f.Messages += float64(count.Frames.Load())
	f.Bytes += float64(count.Bytes.Load())
}

// Traffic is the control traffic of an instance since its start.
type Traffic struct {
	PlannerIn, PlannerOut Flow    // over connections to and from planners, counted in the relays
	MemberIn, MemberOut   Flow    // membership datagrams, by the instance's own counters
	ExchangeBytes         float64 // of the membership's state exchanges, both ways, by the same counters
}

// Sub is the traffic since an earlier moment.
func (t Traffic) Sub(before Traffic) Traffic {
	return Traffic{t.PlannerIn.sub(before.PlannerIn), t.PlannerOut.sub(before.PlannerOut), t.MemberIn.sub(before.MemberIn),
		t.MemberOut.sub(before.MemberOut), t.ExchangeBytes - before.ExchangeBytes}
}

// Traffic is the control traffic of an instance: what a router exchanges with planners, or a planner with all other instances.
func (h *Harness) Traffic(n int) (traffic Traffic, err error) {
	for from, relays := range h.plannerRelays {
		for _, relay := range relays {
			if from == n {
				traffic.PlannerOut.add(&relay.ToInstance)
				traffic.PlannerIn.add(&relay.FromInstance)
			}
			if relay.To() == n {
				traffic.PlannerIn.add(&relay.ToInstance)
				traffic.PlannerOut.add(&relay.FromInstance)
			}
		}
	}
	view, err := h.QueryFleet(n)
	if err != nil {
		return traffic, err
	}
	traffic.MemberIn = Flow{float64(view.Counters.DatagramsIn), float64(view.Counters.BytesIn)}
	traffic.MemberOut = Flow{float64(view.Counters.DatagramsOut), float64(view.Counters.BytesOut)}
	traffic.ExchangeBytes = float64(view.Counters.ExchangeBytes)
	return traffic, nil
}

// OpenPlannerRelay opens a relay to a planner for instances that run beside the harness, and returns its address. The traffic counts
// as the planner's.
func (h *Harness) OpenPlannerRelay(n int) (string, error) {
	relay, err := h.Network.AddRelay(anyInstance, n)
	if err != nil {
		return "", err
	}
	relay.SetTarget(h.plannerAddresses[n])
	h.plannerRelays[anyInstance] = append(h.plannerRelays[anyInstance], relay)
	return relay.Address, nil
}

// anyInstance marks a relay that several instances share.
const anyInstance = -1

// RunningPIDs are the process ids of the instances that run.
func (h *Harness) RunningPIDs() (pids []int) {
	for _, proc := range h.allProcesses() {
		if h.isRunning(proc) {
			pids = append(pids, proc.cmd.Process.Pid)
		}
	}
	return pids
}

// InstanceIP is the loopback address of an instance. Numbers beyond the harness's own are free for instances outside of it.
func InstanceIP(n int) net.IP { return loopbackIP(n) }
