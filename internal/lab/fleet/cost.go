package fleet

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"sedgestream/internal/lab/day"
	"sedgestream/internal/message"
)

// Cost is what the processes took for a while.
type Cost struct {
	Forwarders, Planners []float64 // ms of CPU a second, of each
	Memory               float64   // MB resident, of a forwarder on average
	Words, Bytes         float64   // of datagrams, an instance and second
}

// Agree tells whether all processes have one view now, which is the truth.
func (r *Rig) Agree() bool { return r.agree() }

// Cost measures for so long.
func (r *Rig) Cost(span time.Duration) (c Cost) {
	cpu := func() (ms []float64) {
		for _, p := range r.all() {
			ms = append(ms, cpuOf(p.cmd.Process.Pid))
		}
		return ms
	}
	said := func() (words, bytes float64) {
		for _, p := range r.all() {
			if f, err := r.Fleet(p); err == nil {
				words, bytes = words+float64(f.Tally.WordsOut), bytes+float64(f.Tally.BytesOut)
			}
		}
		return words, bytes
	}
	w0, b0 := said()
	time.Sleep(2 * time.Second) // asking cost them something
	begin, before := time.Now(), cpu()
	time.Sleep(span)
	after, took := cpu(), time.Since(begin).Seconds()
	w1, b1 := said()
	n := float64(len(after))
	c.Words, c.Bytes = (w1-w0)/n/(took+2), (b1-b0)/n/(took+2)
	for i := range after {
		one := (after[i] - before[i]) / took
		if i < r.Planners {
			c.Planners = append(c.Planners, one)
			continue
		}
		c.Forwarders = append(c.Forwarders, one)
		c.Memory += residentOf(r.procs[i].cmd.Process.Pid) / float64(r.Routers)
	}
	return c
}

// tick is the kernel's unit of CPU time in /proc, in ms.
const tick = 10

// cpuOf is what a process has used, in ms.
func cpuOf(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) * tick
}

// residentOf is the memory that a process holds, in MB.
func residentOf(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(text))[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// Member is the address by which others know an instance.
func (r *Rig) Member(n int) string { return r.procs[n].relay.Address }

// Kill ends an instance without a word.
func (r *Rig) Kill(n int) { r.end(r.procs[n], syscall.SIGKILL) }

// End has an instance end well.
func (r *Rig) End(n int) { r.end(r.procs[n], syscall.SIGTERM) }

// Ask has an instance tell how it sees the fleet.
func (r *Rig) Ask(n int) (*message.Fleet, error) { return r.Fleet(r.procs[n]) }

// Memory is what an instance holds resident, in MB.
func (r *Rig) Memory(n int) float64 { return residentOf(r.procs[n].cmd.Process.Pid) }

// Last is when the last request of any of these routers came to a node; the zero time if none did.
func (r *Rig) Last(node int, routers func(number int) bool) (at time.Time) {
	names := map[string]bool{}
	for _, c := range r.procs {
		names[c.name] = routers(c.number)
	}
	for _, ran := range r.Nodes[node].Ledger() {
		if j := r.jobs.of[ran.ID]; j != nil && names[j.router] && ran.At.After(at) {
			at = ran.At
		}
	}
	return at
}

// Begun is when the day began.
func (r *Rig) Begun() time.Time { return r.dayBegun }

// Flood sends an instance so many made-up names a second, for so long.
func (r *Rig) Flood(n int, names float64, span time.Duration) {
	f := &day.Fault{Kind: day.Names, Who: []int{n}, Part: names, For: span}
	r.turn(-1, f, true)
	time.Sleep(span)
	r.turn(-1, f, false)
}
