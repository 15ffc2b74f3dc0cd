// Package fleet runs fault scenarios against tens to hundreds of processes of the program, which are connected by relays. It
// verifies them from outside, by comparing what processes report to operators, and the ledgers of nodes and clients, with the
// faults that were injected.
package fleet

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sedgestream/internal/lab/day"
	"sedgestream/internal/message"
	"sedgestream/internal/standin"
	"sedgestream/internal/standin/link"
)

// Config describes the processes, nodes and clients of a harness.
type Config struct {
	Program          string   // path of the executable
	Env              []string // environment variables beside those of this process
	Planners         int      // the first instances
	Routers          int      // the instances after the planners
	Standalone       int      // how many of the last routers follow no planner; the others are forwarders
	Nodes            []*standin.Node
	Settings         string // of the routers, as JSON
	ProbePeriod      time.Duration
	LeaseTerm        time.Duration
	ClientsPerRouter int
	ClientPause      time.Duration // mean time between a client's requests
	Folder           string        // for logs and files
	Seed             uint64
	RouterLimits     string // of each router, as JSON; "" for the defaults of standin
	// ClientsFor returns the number of clients of a router, by the router's number; nil: ClientsPerRouter each.
	ClientsFor    func(n int) int
	Progress      func(line string) // receives progress lines; may be nil
	ReportLoads   bool              // routers report their attempts to planners
	ReadsOnly     bool              // clients only read
	TrafficSpread float64           // standard deviation of the logarithm of a router's traffic
	StartTogether bool              // start all processes at once, not 16 at a time
	NotStarted    []int             // instances that start only when a fault that names them ends
}

// Harness is a running fleet of processes.
type Harness struct {
	Config
	Network *link.Network

	t                standin.TB
	serial           int64
	startedAt        time.Time
	mu               sync.Mutex
	processes        []*process            // by number; then duplicates
	plannerAddresses []string              // where planners listen
	plannerRelays    map[int][]*link.Relay // relays to planners, by the number of the instance that uses them
	requests         requestLedger
	stop             chan struct{}
	tasks            sync.WaitGroup
	violations       []string // of rules and guarantees
	polls            []poll
	activeFaults     map[int]*day.Fault // by index in the scenario

	drainAnnounced map[int]map[string]time.Time // by node and router: when the router's list announced the drain
	listVersion    int

	scenarioStartedAt time.Time
	faultEvents       []faultEvent // in order of time, for reports
	counts            []clientCounts
	progressAt        time.Time // of the last progress lines
}

// faultEvent is the start or the end of a fault.
type faultEvent struct {
	at     time.Time
	fault  *day.Fault
	active bool
}

// clientCounts counts the requests of clients at a moment: those that had ended, by their answer, and those still open.
type clientCounts struct {
	at                          time.Time
	done, rejected, other, open int
}

// process is an instance; its operating system process may be started many times.
type process struct {
	number   int
	name     string
	ip       net.IP
	platform *standin.Harness // configuration and discovery of a router; nil for a planner
	relay    *link.Relay      // its advertised member address
	args     []string
	env      []string

	// Guarded by the harness's mutex.
	cmd           *exec.Cmd
	exit          chan struct{}
	memberAddress string // where its membership listens
	clientAddress string // where it accepts clients
	running       bool
	paused        bool
	starved       bool
	leaving       bool
	changedAt     time.Time // of running, paused, starved and leaving
	duplicate     bool      // it uses the name of another instance
}

// loopbackOctet is the second octet of this process's loopback addresses. It differs by process, as other harnesses may run at
// the same time.
var loopbackOctet = byte(20 + os.Getpid()%200)

// mixSeed derives a seed from two numbers.
func mixSeed(a, b uint64) uint64 {
	x := (a+1)*0x9e3779b97f4a7c15 ^ (b+1)*0xbf58476d1ce4e5b9
	return (x ^ x>>31) & (1<<47 - 1)
}

// loopbackIP is the address of an instance, from which relays recognize it.
func loopbackIP(n int) net.IP { return net.IPv4(127, loopbackOctet, byte(n/200), byte(n%200+1)) }

// instanceNumber is the number of the instance with an address; -1 if there is none.
func instanceNumber(a net.IP) int {
	if a = a.To4(); a == nil || a[1] != loopbackOctet {
		return -1
	}
	return int(a[2])*200 + int(a[3]) - 1
}

// harnessCount counts the harnesses of this process.
var harnessCount atomic.Int64

// New starts all processes and clients.
func New(t standin.TB, config Config) *Harness {
	h := &Harness{
		Config:         config,
		serial:         harnessCount.Add(1),
		Network:        link.New(config.Seed, instanceNumber),
		t:              t,
		stop:           make(chan struct{}),
		activeFaults:   map[int]*day.Fault{},
		plannerRelays:  map[int][]*link.Relay{},
		drainAnnounced: map[int]map[string]time.Time{},
		listVersion:    7,
	}
	t.Cleanup(h.Close)
	for n := range config.Planners {
		address, err := freeAddress(loopbackIP(n))
		h.must(err)
		h.plannerAddresses = append(h.plannerAddresses, address)
	}
	for n := range config.Planners + config.Routers {
		h.processes = append(h.processes, h.prepare(n, ""))
	}
	h.startedAt = time.Now()
	var all sync.WaitGroup
	slots := make(chan struct{}, map[bool]int{false: 16, true: len(h.processes)}[config.StartTogether])
	for n, proc := range h.processes {
		if slices.Contains(config.NotStarted, n) {
			proc.changedAt = time.Now()
			continue
		}
		all.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; all.Done() }()
			h.startProcess(proc)
		}()
	}
	all.Wait()
	for n, proc := range h.processes {
		if proc.cmd == nil && !slices.Contains(config.NotStarted, n) {
			t.Fatal(strings.Join(h.violations, "\n"))
		}
	}
	for _, proc := range h.processes[config.Planners:] {
		h.startClients(proc)
	}
	return h
}

// Planners get ports below the system's ephemeral range, and each port is given out once: so the port of a planner is free when
// it starts, though other harnesses of this process use the same addresses.
const (
	firstPort = 10000
	lastPort  = 30000
)

// portsGiven counts the ports that were given out.
var portsGiven atomic.Int64

// freeAddress returns an address on which nothing listens.
func freeAddress(ip net.IP) (string, error) {
	var failed error
	for range lastPort - firstPort {
		port := firstPort + int(portsGiven.Add(1)-1)%(lastPort-firstPort)
		address := net.JoinHostPort(ip.String(), strconv.Itoa(port))
		l, err := net.Listen("tcp", address)
		if err == nil {
			l.Close()
			return address, nil
		}
		failed = err
	}
	return "", failed
}

// must ends the test on an error.
func (h *Harness) must(err error) {
	if err != nil {
		h.t.Fatal(err)
	}
}

// prepare sets up the files and relays of an instance, under the name of another one if a name is given. Each instance has its
// own tier file, which lists planners by the relays between the two.
func (h *Harness) prepare(n int, name string) *process {
	proc := &process{number: n, name: name, ip: loopbackIP(n), duplicate: name != ""}
	planner := n < h.Planners
	if name == "" {
		proc.name = fmt.Sprintf("f%d", n)
		if planner {
			proc.name = fmt.Sprintf("p%d", n)
		}
	}
	var err error
	proc.relay, err = h.Network.AddRelay(-1, n)
	h.must(err)
	var planners []string
	for p := range h.Planners {
		address := h.plannerAddresses[p]
		if p != n {
			relay, err := h.Network.AddRelay(n, p)
			h.must(err)
			relay.SetTarget(address)
			h.plannerRelays[n] = append(h.plannerRelays[n], relay)
			address = relay.Address
		}
		planners = append(planners, fmt.Sprintf(`{"name": "p%d", "address": %q}`, p, address))
	}
	path := filepath.Join(h.Folder, fmt.Sprintf("tier-%d.json", n))
	h.must(os.WriteFile(path, []byte(h.TierFile(strings.Join(planners, ", "))), 0o600))
	if planner {
		proc.args = []string{"plan", "--tier", path, "--name", proc.name, "--member-advertise", proc.relay.Address}
		proc.env = os.Environ()
		return proc
	}
	proc.platform = standin.NewHarness(h.t, h.Nodes...)
	proc.platform.RouterName, proc.platform.Settings, proc.platform.WholeLines, proc.platform.Seed =
		proc.name, h.Settings, true, fmt.Sprintf("%x", mixSeed(h.Seed, uint64(n)))
	if h.RouterLimits != "" {
		proc.platform.Limits = h.RouterLimits
	}
	command := "forward"
	if n >= h.Planners+h.Routers-h.Standalone && n < h.Planners+h.Routers {
		command = "run"
	}
	proc.args = []string{command, "--tier", path, "--member-listen", proc.ip.String() + ":0", "--member-advertise", proc.relay.Address}
	go func() { // drain the channel: nothing here checks how watches begin
		for {
			select {
			case <-proc.platform.ListRequests:
			case <-h.stop:
				return
			}
		}
	}()
	return proc
}

// TierFile is the text of a tier file with this JSON list of planners.
func (h *Harness) TierFile(planners string) string {
	loads := ""
	if h.ReportLoads {
		loads = `, "loads": {}`
	}
	return fmt.Sprintf(`{"version": 1, "fleet": %q, "term": %q, "period": %q, "planners": [%s], "members": {"period": %q, "forget": "1h"}%s}`,
		h.fleetName(), h.LeaseTerm, h.LeaseTerm/8, planners, h.ProbePeriod, loads)
}

// startProcess starts the process of an instance and waits until it serves.
func (h *Harness) startProcess(proc *process) {
	if proc.platform != nil {
		h.mu.Lock()
		proc.env = proc.platform.WriteConfig()
		h.mu.Unlock()
	}
	cmd := exec.Command(h.Program, proc.args...)
	cmd.Env = append(slices.Clone(proc.env), h.Env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // leave no process behind if this one is killed
	log, err := os.OpenFile(h.logPath(proc), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	h.must(err)
	out, err := cmd.StderrPipe()
	h.must(err)
	if err := cmd.Start(); err != nil {
		h.t.Errorf("%s: %v", proc.name, err)
		return
	}
	exit, ready := make(chan struct{}), make(chan struct{})
	member, address := "", ""
	go func() {
		defer close(exit)
		defer log.Close()
		complete := false
		for lines := newLineReader(out); ; {
			line, err := lines.next()
			if len(line) > 0 {
				log.Write(line)
			}
			if err != nil {
				break
			}
			if complete || !strings.Contains(string(line), `"listen"`) {
				continue
			}
			var entry struct{ Msg, Listen string }
			json.Unmarshal(line, &entry)
			switch entry.Msg {
			case "member":
				member = entry.Listen
			case "serving", "planning":
				address = entry.Listen
			}
			if member != "" && address != "" {
				complete = true
				close(ready)
			}
		}
		cmd.Wait()
	}()
	select {
	case <-ready:
	case <-exit:
		text, _ := os.ReadFile(h.logPath(proc))
		h.violation("%s ended while it started: see %s; the log ends with %q", proc.name, h.logPath(proc), text[max(0, len(text)-300):])
		return
	case <-time.After(standin.WaitTimeout):
		h.violation("%s does not serve: see %s", proc.name, h.logPath(proc))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	proc.cmd, proc.exit, proc.memberAddress, proc.clientAddress = cmd, exit, member, address
	proc.running, proc.paused, proc.leaving, proc.changedAt = true, false, false, time.Now()
	proc.relay.SetTarget(member)
}

// logPath is the path of an instance's log.
func (h *Harness) logPath(proc *process) string {
	suffix := ""
	if proc.duplicate {
		suffix = fmt.Sprintf("-twin%d", proc.number)
	}
	return filepath.Join(h.Folder, proc.name+suffix+".log")
}

// violation records a violated rule or guarantee.
func (h *Harness) violation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.violations) < 100 {
		h.violations = append(h.violations, fmt.Sprintf("%v: ", time.Since(h.startedAt).Round(time.Millisecond))+fmt.Sprintf(format, args...))
	}
}

// allProcesses is a copy of the list of processes.
func (h *Harness) allProcesses() []*process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.processes)
}

// isRunning reports whether the process of an instance runs.
func (h *Harness) isRunning(proc *process) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return proc.running
}

// queryFleet asks an instance for its view of the fleet, over a direct connection.
func (h *Harness) queryFleet(proc *process) (*message.FleetStatus, error) {
	h.mu.Lock()
	address := proc.memberAddress
	h.mu.Unlock()
	sock, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	defer sock.Close()
	conn := message.NewConn(sock)
	for _, msg := range []*message.Frame{{Hello: &message.Hello{Version: message.Version, Kind: message.Operator}},
		{FleetStatus: &message.FleetStatus{}}} {
		if err := conn.Write(msg, time.Second); err != nil {
			return nil, err
		}
	}
	for {
		switch got, err := conn.Read(time.Second); {
		case err != nil:
			return nil, err
		case got.FleetStatus != nil:
			return got.FleetStatus, nil
		}
	}
}

// Close kills the processes that still run. It is also called when the test ends.
func (h *Harness) Close() {
	select {
	case <-h.stop:
	default:
		close(h.stop)
	}
	for _, proc := range h.allProcesses() {
		if proc.cmd != nil {
			proc.cmd.Process.Signal(syscall.SIGCONT)
			proc.cmd.Process.Kill()
			<-proc.exit
		}
	}
	h.Network.Close()
}
