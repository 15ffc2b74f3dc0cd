// Package fleet starts tens and hundreds of processes of the program with relays between them, plays a day of faults, and
// judges from outside: by what each process tells operators, and by the ledgers of nodes and clients, held against the truth
// that it knows.
package fleet

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"sedgestream/internal/lab/day"
	"sedgestream/internal/standin"
	"sedgestream/internal/standin/link"
	"sedgestream/internal/words"
)

// Plan is what a rig consists of.
type Plan struct {
	Program  string   // its path,
	Env      []string // and what it needs beside the usual environment
	Planners int      // the first instances
	Routers  int      // forwarders, those behind
	Plain    int      // of these, the last, routers that heed no planner
	Nodes    []*standin.Node
	Contract string // of the routers, as JSON
	Period   time.Duration
	Term     time.Duration // of leases
	Clients  int           // of each router
	Every    time.Duration // between a client's jobs
	Folder   string        // of logs and files
	Seed     uint64
}

// Rig is the fleet that runs.
type Rig struct {
	Plan
	Net *link.Network

	t        standin.Test
	begun    time.Time
	mu       sync.Mutex
	procs    []*proc  // by number; then twins
	planners []string // where they listen
	jobs     ledger
	stop     chan struct{}
	tasks    sync.WaitGroup
	found    []string // broken rules and promises
	polls    []poll
	on       map[int]*day.Fault

	drained map[int]map[string]time.Time // by node: when each router's own list told it
	version int
}

// proc is a process of the program that is started again and again.
type proc struct {
	number int
	name   string
	ip     net.IP
	fleet  *standin.Fleet // of a router
	relay  *link.Relay    // that others are told of
	args   []string
	env    []string

	// Under the rig's lock.
	cmd     *exec.Cmd
	exit    chan struct{}
	member  string // where its membership listens
	address string // where its clients ask
	up      bool
	stopped bool
	left    bool
	since   time.Time // of the above
	twin    bool
}

// net of loopback addresses that this rig has for itself, as another one may run beside it.
var own = byte(20 + os.Getpid()%200)

// ip is the address that an instance has for itself, by which relays tell it.
func ip(n int) net.IP { return net.IPv4(127, own, byte(n/200), byte(n%200+1)) }

// who is the number that has an address.
func who(a net.IP) int {
	if a = a.To4(); a == nil || a[1] != own {
		return -1
	}
	return int(a[2])*200 + int(a[3]) - 1
}

// New starts all processes and the load.
func New(t standin.Test, p Plan) *Rig {
	r := &Rig{Plan: p, Net: link.New(p.Seed, who), t: t, stop: make(chan struct{}), on: map[int]*day.Fault{}, drained: map[int]map[string]time.Time{}, version: 7}
	t.Cleanup(r.close)
	for n := range p.Planners {
		l, err := net.Listen("tcp", ip(n).String()+":0")
		r.must(err)
		r.planners = append(r.planners, l.Addr().String())
		l.Close()
	}
	for n := range p.Planners + p.Routers {
		r.procs = append(r.procs, r.prepare(n, ""))
	}
	r.begun = time.Now()
	var all sync.WaitGroup
	turns := make(chan struct{}, 16)
	for _, c := range r.procs {
		all.Add(1)
		turns <- struct{}{}
		go func() {
			defer func() { <-turns; all.Done() }()
			r.start(c)
		}()
	}
	all.Wait()
	for _, c := range r.procs {
		if c.cmd == nil {
			t.Fatal(strings.Join(r.found, "\n"))
		}
	}
	for _, c := range r.procs[p.Planners:] {
		r.load(c)
	}
	return r
}

func (r *Rig) must(err error) {
	if err != nil {
		r.t.Fatal(err)
	}
}

// prepare lays out the files and relays of an instance. Each has a file of the tier of its own, in which planners stand by the
// relays between the two.
func (r *Rig) prepare(n int, name string) *proc {
	c := &proc{number: n, name: name, ip: ip(n), twin: name != ""}
	planner := n < r.Planners
	if name == "" {
		c.name = fmt.Sprintf("f%d", n)
		if planner {
			c.name = fmt.Sprintf("p%d", n)
		}
	}
	var err error
	c.relay, err = r.Net.Relay(-1, n)
	r.must(err)
	var list []string
	for p := range r.Planners {
		address := r.planners[p]
		if p != n {
			between, err := r.Net.Relay(n, p)
			r.must(err)
			between.Lead(address)
			address = between.Address
		}
		list = append(list, fmt.Sprintf(`{"name": "p%d", "address": %q}`, p, address))
	}
	path := filepath.Join(r.Folder, fmt.Sprintf("tier-%d.json", n))
	r.must(os.WriteFile(path, fmt.Appendf(nil, `{"version": 1, "fleet": "rig %d", "term": %q, "period": %q, "planners": [%s], "members": {"period": %q, "forget": "1h"}}`,
		os.Getpid(), r.Term, r.Term/8, strings.Join(list, ", "), r.Period), 0o600))
	if planner {
		c.args = []string{"plan", "--tier", path, "--name", c.name, "--member-advertise", c.relay.Address}
		c.env = os.Environ()
		return c
	}
	c.fleet = standin.NewFleet(r.t, r.Nodes...)
	c.fleet.Name, c.fleet.Contract = c.name, r.Contract
	word := "forward"
	if n >= r.Planners+r.Routers-r.Plain && n < r.Planners+r.Routers {
		word = "run"
	}
	c.args = []string{word, "--tier", path, "--member-listen", c.ip.String() + ":0", "--member-advertise", c.relay.Address}
	go func() { // nobody asks how its watches begin
		for {
			select {
			case <-c.fleet.Watches:
			case <-r.stop:
				return
			}
		}
	}()
	return c
}

// start starts a life of an instance and waits until it serves.
func (r *Rig) start(c *proc) {
	if c.fleet != nil {
		r.mu.Lock()
		c.env = c.fleet.Configure()
		r.mu.Unlock()
	}
	cmd := exec.Command(r.Program, c.args...)
	cmd.Env = append(slices.Clone(c.env), r.Env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // a rig that is killed leaves no process behind
	log, err := os.OpenFile(r.log(c), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	r.must(err)
	out, err := cmd.StderrPipe()
	r.must(err)
	if err := cmd.Start(); err != nil {
		r.t.Errorf("%s: %v", c.name, err)
		return
	}
	exit, up := make(chan struct{}), make(chan struct{})
	member, address := "", ""
	go func() {
		defer close(exit)
		defer log.Close()
		ready := false
		for d := newLines(out); ; {
			line, err := d.next()
			if len(line) > 0 {
				log.Write(line)
			}
			if err != nil {
				break
			}
			if ready || !strings.Contains(string(line), `"listen"`) {
				continue
			}
			var l struct{ Msg, Listen string }
			json.Unmarshal(line, &l)
			switch l.Msg {
			case "member":
				member = l.Listen
			case "serving", "planning":
				address = l.Listen
			}
			if member != "" && address != "" {
				ready = true
				close(up)
			}
		}
		cmd.Wait()
	}()
	select {
	case <-up:
	case <-exit:
		r.fault("%s ended at its start: see %s", c.name, r.log(c))
		return
	case <-time.After(standin.Patience):
		r.fault("%s does not serve: see %s", c.name, r.log(c))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c.cmd, c.exit, c.member, c.address = cmd, exit, member, address
	c.up, c.stopped, c.left, c.since = true, false, false, time.Now()
	c.relay.Lead(member)
}

func (r *Rig) log(c *proc) string {
	twin := ""
	if c.twin {
		twin = fmt.Sprintf("-twin%d", c.number)
	}
	return filepath.Join(r.Folder, c.name+twin+".log")
}

// fault notes a broken rule or promise.
func (r *Rig) fault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.found) < 100 {
		r.found = append(r.found, fmt.Sprintf("%v: ", time.Since(r.begun).Round(time.Millisecond))+fmt.Sprintf(format, args...))
	}
}

// Play plays the day from now on, polls every instance meanwhile, and goes on until all agree or so many periods after the
// last fault have passed.
func (r *Rig) Play(d *day.Day, grace float64) *Verdict {
	r.must(d.Write(filepath.Join(r.Folder, "day.json")))
	begun := time.Now()
	type turn struct {
		at time.Duration
		k  int
		on bool
	}
	var turns []turn
	for k, f := range d.Faults {
		turns = append(turns, turn{f.At, k, true})
		if f.For > 0 {
			turns = append(turns, turn{f.End(), k, false})
		}
	}
	slices.SortStableFunc(turns, func(a, b turn) int { return int(a.at - b.at) })
	polling := make(chan struct{})
	var polled sync.WaitGroup
	polled.Add(1)
	go func() {
		defer polled.Done()
		for {
			select {
			case <-polling:
				return
			case <-time.After(2 * r.Period):
				r.poll()
			}
		}
	}()
	for _, t := range turns {
		time.Sleep(time.Until(begun.Add(t.at)))
		r.turn(t.k, &d.Faults[t.k], t.on)
	}
	last := time.Now()
	v := &Verdict{Agreed: -1}
	for time.Since(last) < time.Duration(grace*float64(r.Period)) {
		if r.agree() {
			v.Agreed = float64(time.Since(last)) / float64(r.Period)
			break
		}
		time.Sleep(r.Period / 2)
	}
	close(polling)
	polled.Wait()
	close(r.stop)
	r.tasks.Wait()
	r.judge(d, v)
	return v
}

// turn has a fault begin or end.
func (r *Rig) turn(k int, f *day.Fault, on bool) {
	r.mu.Lock()
	if on {
		r.on[k] = f
	} else {
		delete(r.on, k)
	}
	var procs []*proc
	for _, n := range f.Who {
		procs = append(procs, r.procs[n])
	}
	r.mu.Unlock()
	switch f.Kind {
	case day.Split, day.OneWay, day.Loss, day.Late, day.Double:
		r.weather()
		return
	case day.Drain:
		r.drain(f, on)
		return
	case day.Twin:
		if on {
			r.mu.Lock()
			n := len(r.procs)
			r.mu.Unlock()
			t := r.prepare(n, procs[0].name)
			r.mu.Lock()
			r.procs = append(r.procs, t)
			r.mu.Unlock()
			r.start(t)
		} else {
			for _, t := range r.all() {
				if t.twin && t.name == procs[0].name {
					r.end(t, syscall.SIGKILL)
				}
			}
		}
		return
	}
	var all sync.WaitGroup
	for _, c := range procs {
		all.Add(1)
		go func() {
			defer all.Done()
			switch {
			case f.Kind == day.Stop && on:
				r.signal(c, syscall.SIGSTOP)
			case f.Kind == day.Stop:
				r.signal(c, syscall.SIGCONT)
			case on && f.Kind == day.Kill:
				r.end(c, syscall.SIGKILL)
			case on && f.Kind == day.Leave:
				r.end(c, syscall.SIGTERM)
			default:
				if !r.running(c) {
					r.start(c)
				}
			}
		}()
	}
	all.Wait()
}

// drain has the lists of some routers tell that a replica drains; when the fault is over, those of all others.
func (r *Rig) drain(f *day.Fault, on bool) {
	node := 1 + int(f.Part*float64(len(r.Nodes)-1))
	r.mu.Lock()
	told := r.drained[node]
	if told == nil {
		told = map[string]time.Time{}
		r.drained[node] = told
		r.version++
	}
	version := r.version
	r.mu.Unlock()
	line := fmt.Sprintf("{\"version\":%d,\"full\":false,\"servers\":[%s]}\n", version, r.Nodes[node].Entry(node, "draining"))
	for _, c := range r.all() {
		if c.fleet == nil || c.twin || on && !slices.Contains(f.Who, c.number) {
			continue
		}
		// A life to come knows it from its configuration.
		r.mu.Lock()
		for len(c.fleet.States) < len(r.Nodes) {
			c.fleet.States = append(c.fleet.States, "up")
		}
		c.fleet.States[node], c.fleet.Version = "draining", version
		up := c.up
		r.mu.Unlock()
		r.tasks.Add(1)
		go func() {
			defer r.tasks.Done()
			if up {
				select {
				case c.fleet.Changes <- line:
				case <-time.After(5 * time.Second): // it has ended meanwhile
					return
				case <-r.stop:
					return
				}
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			if told[c.name].IsZero() {
				told[c.name] = time.Now()
			}
		}()
	}
}

func (r *Rig) all() []*proc {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.procs)
}

func (r *Rig) running(c *proc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.up
}

// signal has a process stand still or go on.
func (r *Rig) signal(c *proc, s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.up {
		c.cmd.Process.Signal(s)
		c.stopped, c.since = s == syscall.SIGSTOP, time.Now()
	}
}

// end ends a process, and returns when it has ended.
func (r *Rig) end(c *proc, s syscall.Signal) {
	r.mu.Lock()
	if !c.up {
		r.mu.Unlock()
		return
	}
	c.up, c.left, c.since = false, s == syscall.SIGTERM, time.Now()
	stopped := c.stopped
	r.mu.Unlock()
	c.cmd.Process.Signal(s)
	if stopped {
		c.cmd.Process.Signal(syscall.SIGCONT)
	}
	select {
	case <-c.exit:
	case <-time.After(standin.Patience):
		r.fault("%s does not end by %v", c.name, s)
		c.cmd.Process.Kill()
		<-c.exit
	}
}

// weather sets that of the network by the faults that are on.
func (r *Rig) weather() {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := link.Weather{}
	var cuts []*day.Fault
	for _, f := range r.on {
		switch f.Kind {
		case day.Loss:
			w.Loss = max(w.Loss, f.Part)
		case day.Double:
			w.Double = max(w.Double, f.Part)
		case day.Late:
			w.Late, w.Span = f.Part, f.Span
		case day.Split, day.OneWay:
			cuts = append(cuts, f)
		}
	}
	if len(cuts) > 0 {
		w.Cut = func(from, to int) bool { return cut(cuts, from, to) }
	}
	r.Net.Set(w)
}

// cut tells whether one of the faults keeps what one says from another.
func cut(fs []*day.Fault, from, to int) bool {
	for _, f := range fs {
		if f.Kind == day.Split && slices.Contains(f.Who, from) != slices.Contains(f.Who, to) ||
			f.Kind == day.OneWay && slices.Contains(f.Who, from) && slices.Contains(f.Others, to) {
			return true
		}
	}
	return false
}

// Fleet asks an instance how it sees the fleet, past all relays.
func (r *Rig) Fleet(c *proc) (*words.Fleet, error) {
	r.mu.Lock()
	at := c.member
	r.mu.Unlock()
	sock, err := net.DialTimeout("tcp", at, time.Second)
	if err != nil {
		return nil, err
	}
	defer sock.Close()
	w := words.On(sock)
	for _, say := range []*words.Word{{Hello: &words.Hello{Version: words.Version, Kind: words.Operator}}, {Fleet: &words.Fleet{}}} {
		if err := w.Write(say, time.Second); err != nil {
			return nil, err
		}
	}
	for {
		switch got, err := w.Read(time.Second); {
		case err != nil:
			return nil, err
		case got.Fleet != nil:
			return got.Fleet, nil
		}
	}
}

// close ends what still runs.
func (r *Rig) close() {
	select {
	case <-r.stop:
	default:
		close(r.stop)
	}
	for _, c := range r.all() {
		if c.cmd != nil {
			c.cmd.Process.Signal(syscall.SIGCONT)
			c.cmd.Process.Kill()
			<-c.exit
		}
	}
	r.Net.Close()
}
