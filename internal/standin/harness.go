package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Harness runs one router process among stand-ins: nodes, a discovery server, and the socket of another router.
// Its exported fields are set before Start or Launch, except where they say otherwise.
type Harness struct {
	RouterName      string // name in the router's configuration
	Seed            string // seed of the router's random source
	Nodes           []*Node
	KnownVersion    int                  // version of the list in the router's configuration
	KnownStates     []string             // states of the nodes in that list, by index; "up" where absent
	Settings        string               // the settings in the configuration, as JSON
	Limits          string               // resource limits in the configuration, as JSON
	EditConfig      func(map[string]any) // changes the decoded configuration before it is written; may be nil
	OnConfigWritten func()               // called between writing the configuration and starting the program; may be nil
	Dir             string               // working directory of the program; the caller's if empty
	KnownList       string               // the list in the configuration, as JSON; built from Nodes if empty
	PeerListen      string               // UDP address where the router receives messages of other routers
	Args            []string             // command-line arguments of the program
	Env             []string             // environment variables in addition to os.Environ
	ListRequests    chan string          // receives the index parameter of each watch, and "whole" for each request for the full list
	Updates         chan string          // lines to send on the open watch
	EndWatch        chan struct{}        // ends the open watch
	WholeLines      bool                 // sends each line of a watch at once instead of byte by byte, for harnesses with many routers
	WatchSendsList  bool                 // each watch begins with the full list
	DiscoveryServer *http.Server         // Addr is its address
	PeerConn        *net.UDPConn         // receives messages to the other router
	ConfigPath      string               // file of the router's configuration
	Address         string               // address where the router accepts clients, once it serves
	Cmd             *exec.Cmd
	Exit            chan error  // receives the result of the process once it has exited
	Serving         chan string // receives that address when the router logs that it serves

	CallTimes    chan time.Time        // receives the time of each discovery request, unless nil
	CallFailures chan DiscoveryFailure // failures of the next discovery requests; with none queued a request is answered

	t             TB
	mu            sync.Mutex
	log           strings.Builder
	fullList      string       // the full list as JSON; version 2 with all nodes up if empty
	watchEpoch    atomic.Int64 // incremented by SilenceWatches; watches of earlier epochs send nothing more
	silent        atomic.Bool  // discovery requests get no response, not even headers
	refusing      atomic.Bool  // discovery requests are answered with 503
	logPipe       io.Closer    // read end of the pipe that is the router's standard error
	logStalled    atomic.Bool  // nothing is read from logPipe
	responseDelay atomic.Int64 // nanoseconds by which discovery responses are delayed
}

// DefaultSettings are settings with one class for each kind of retry safety: view (pure), order
// (token) and once (side effect).
const DefaultSettings = `{"me":0,"balancers":2,"tickUs":5000,"discovery":"push",
"classes":[{"name":"view","aimUs":80000,"deadlineUs":30000000,"repeat":"pure","worth":1.0},
{"name":"order","aimUs":80000,"deadlineUs":30000000,"repeat":"token","group":"cell","windowUs":30000000,"worth":3.0},
{"name":"once","aimUs":80000,"deadlineUs":30000000,"repeat":"side_effect","worth":3.0}],
"limits":{"sendCap":3,"secondCopies":false,"probes":true,"peers":true,"connectTimeoutUs":5000000,"keepaliveUs":30000000},
"rules":{"askEveryUs":1000000,"coldUs":14000000,"drainGraceUs":500000,"fallMultiple":2.0,"fallUs":3000000,"startCapacity":0.15},
"specifics":{"consistency":["eventual","mutate","mutate"],"reportX0":"position","reportX1":"role","serverChecks":"await",
"tokenMode":"brought"}}`

// ShortTimeoutSettings are DefaultSettings for fault tests: short deadlines and timeouts, hedged attempts, nodes that
// are cold for 5 s, and an additional class, now, of fresh reads.
var ShortTimeoutSettings = strings.NewReplacer(`"deadlineUs":30000000`, `"deadlineUs":2000000`, `"windowUs":30000000`, `"windowUs":1200000`,
	`"sendCap":3`, `"sendCap":4`, `"secondCopies":false`, `"secondCopies":true`, `"connectTimeoutUs":5000000`, `"connectTimeoutUs":100000`,
	`{"name":"once"`, `{"name":"now","aimUs":80000,"deadlineUs":2000000,"repeat":"pure","worth":1.0},
{"name":"once"`, `"consistency":["eventual","mutate","mutate"]`, `"consistency":["eventual","mutate","strong","mutate"]`,
	`"coldUs":14000000`, `"coldUs":5000000`, `"fallUs":3000000`, `"fallUs":1000000`, `"peers":true`, `"peers":false`).Replace(DefaultSettings)

// DiscoveryFailure is how a discovery request fails.
type DiscoveryFailure int

// The ways in which a discovery request fails: with status 503, or with no response at all.
const (
	Refused DiscoveryFailure = iota
	NeverAnswered
)

// NewHarness returns a harness with a running discovery server and no router yet.
func NewHarness(t TB, nodes ...*Node) *Harness {
	h := &Harness{t: t, RouterName: "n0", Seed: "8c1f30d27a5be964", KnownVersion: 7, Nodes: nodes, Settings: DefaultSettings,
		Limits:       `{"cores":1,"memory_mb":192,"sockets":1024}`,
		ListRequests: make(chan string, 100), Updates: make(chan string), EndWatch: make(chan struct{}),
		CallFailures: make(chan DiscoveryFailure, 100), Exit: make(chan error, 1), Serving: make(chan string, 1),
		PeerListen: "127.0.0.1:0"}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.DiscoveryServer = &http.Server{Addr: listener.Addr().String(), Handler: http.HandlerFunc(h.serveDiscovery)}
	go h.DiscoveryServer.Serve(listener)
	t.Cleanup(func() { h.DiscoveryServer.Close() })
	if h.PeerConn, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.PeerConn.Close() })
	return h
}

// AddDiscoveryListener has discovery answer at a further listener.
func (h *Harness) AddDiscoveryListener(listener net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(h.serveDiscovery)}
	go server.Serve(listener)
	h.t.Cleanup(func() { server.Close() })
}

// serveDiscovery answers requests for the full list, and watches of its changes.
func (h *Harness) serveDiscovery(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		h.t.Errorf("discovery was asked for %s", r.URL)
	}
	if h.CallTimes != nil {
		h.CallTimes <- time.Now()
	}
	if h.silent.Load() {
		<-r.Context().Done()
		return
	}
	if h.refusing.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(time.Duration(h.responseDelay.Load()))
	select {
	case failure := <-h.CallFailures:
		if failure == Refused {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		<-r.Context().Done()
		return
	default:
	}
	if r.FormValue("stream") != "1" {
		h.ListRequests <- "whole"
		io.WriteString(w, h.currentFullList())
		return
	}
	w.WriteHeader(200)
	w.(http.Flusher).Flush()
	watchEpoch := h.watchEpoch.Load() // read before the watch is announced, since whoever learns of it may call SilenceWatches
	h.ListRequests <- r.FormValue("index")
	if h.WatchSendsList {
		io.WriteString(w, h.currentFullList()+"\n")
		w.(http.Flusher).Flush()
	}
	for {
		if h.watchEpoch.Load() != watchEpoch {
			<-r.Context().Done()
			return
		}
		select {
		case line := <-h.Updates:
			if h.WholeLines {
				io.WriteString(w, line)
				w.(http.Flusher).Flush()
				continue
			}
			for i := range line { // byte by byte, so that the router sees every split
				io.WriteString(w, line[i:i+1])
				w.(http.Flusher).Flush()
			}
		case <-h.EndWatch:
			return
		case <-time.After(time.Second): // heartbeat: nothing has changed
			if h.watchEpoch.Load() != watchEpoch {
				continue
			}
			io.WriteString(w, "\n")
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// SetList sets the answer to requests for the full list.
func (h *Harness) SetList(list string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fullList = list
}

// currentFullList returns the answer to requests for the full list.
func (h *Harness) currentFullList() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fullList == "" {
		return fmt.Sprintf(`{"version":2,"full":true,"servers":[%s]}`, h.ListEntries())
	}
	return h.fullList
}

// SilenceWatches makes the open watches send nothing more, though their connections stay open.
func (h *Harness) SilenceWatches() { h.watchEpoch.Add(1) }

// SetDiscoveryDown has discovery accept requests and answer none while down is true. Requests accepted then
// stay unanswered afterwards.
func (h *Harness) SetDiscoveryDown(down bool) { h.silent.Store(down) }

// SetDiscoveryRefusing has discovery answer requests with 503, like an overloaded server.
func (h *Harness) SetDiscoveryRefusing(refusing bool) { h.refusing.Store(refusing) }

// SetDiscoveryDelay delays every discovery response.
func (h *Harness) SetDiscoveryDelay(delay time.Duration) { h.responseDelay.Store(int64(delay)) }

// ListEntries returns the JSON entries of all nodes. A node without a state in states is "up".
func (h *Harness) ListEntries(states ...string) string {
	var entries []string
	for i, node := range h.Nodes {
		state := "up"
		if i < len(states) {
			state = states[i]
		}
		entries = append(entries, node.ListEntry(i, state))
	}
	return strings.Join(entries, ",")
}

// WriteConfig writes the router's configuration file, and returns an environment that points to it.
func (h *Harness) WriteConfig() []string {
	var settings any
	if err := json.Unmarshal([]byte(h.Settings), &settings); err != nil {
		h.t.Fatal(err)
	}
	settingsJSON, _ := json.Marshal(settings)
	known := h.KnownList
	if known == "" {
		known = fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`, h.KnownVersion, h.ListEntries(h.KnownStates...))
	}
	text := fmt.Sprintf(`{"name":%q,"discovery":%q,"seed":%q,"limits":%s,
"peer_listen":%q,"peers":["127.0.0.1:9",%q],"peers_all":%q,
"known":%s,"settings":%s}`, h.RouterName, h.DiscoveryServer.Addr, h.Seed, h.Limits, h.PeerListen, h.PeerConn.LocalAddr(),
		h.PeerConn.LocalAddr(), known, settingsJSON)
	if h.EditConfig != nil {
		var config map[string]any
		if err := json.Unmarshal([]byte(text), &config); err != nil {
			h.t.Fatal(err)
		}
		h.EditConfig(config)
		edited, _ := json.Marshal(config)
		text = string(edited)
	}
	if h.ConfigPath == "" {
		h.ConfigPath = filepath.Join(h.t.TempDir(), "config.json")
	}
	if err := os.WriteFile(h.ConfigPath, []byte(text), 0o600); err != nil {
		h.t.Fatal(err)
	}
	// ROUTER_LISTEN applies only where the file has no "listen".
	return append(append(os.Environ(), "ROUTER_CONFIG="+h.ConfigPath, "ROUTER_LISTEN=127.0.0.1:0"), h.Env...)
}

// Start starts the program, which must run as a router with these arguments and that environment, and waits
// until it serves.
func (h *Harness) Start(program string) *Harness {
	h.t.Helper()
	h.Launch(program)
	select {
	case h.Address = <-h.Serving:
	case err := <-h.Exit:
		h.t.Fatal("the router ended: ", err, "\n", h.Log())
	case <-time.After(WaitTimeout):
		h.t.Fatal("the router does not serve in time")
	}
	return h
}

// Launch starts the program without waiting for it.
func (h *Harness) Launch(program string) {
	h.t.Helper()
	h.Cmd = exec.Command(program, h.Args...)
	h.Cmd.Env = h.WriteConfig()
	h.Cmd.Dir = h.Dir
	if h.OnConfigWritten != nil {
		h.OnConfigWritten()
	}
	stderr, _ := h.Cmd.StderrPipe()
	if err := h.Cmd.Start(); err != nil {
		h.t.Fatal(err)
	}
	h.logPipe = stderr
	go func() {
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			for h.logStalled.Load() {
				time.Sleep(time.Millisecond)
			}
			h.mu.Lock()
			fmt.Fprintln(&h.log, lines.Text())
			h.mu.Unlock()
			var line struct{ Msg, Listen string }
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "serving" {
				select {
				case h.Serving <- line.Listen:
				default: // "serving" is logged again after a reload
				}
			}
		}
		h.Exit <- h.Cmd.Wait()
	}()
	h.t.Cleanup(func() {
		h.Cmd.Process.Kill()
		if log := h.Log(); h.t.Failed() || strings.Contains(log, "panic") || strings.Contains(log, "DATA RACE") {
			h.t.Error("the router's log:\n", log)
		}
	})
}

// CloseLog closes the read end of the router's log, so that its writes to it fail from now on.
func (h *Harness) CloseLog() { h.logPipe.Close() }

// StallLog stops or resumes reading the router's log. While it is stopped the router's writes block once the
// pipe is full.
func (h *Harness) StallLog(stalled bool) { h.logStalled.Store(stalled) }

// Exited reports whether the program has exited, even if its log has not been read to the end.
func (h *Harness) Exited() bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.Cmd.Process.Pid))
	_, state, _ := strings.Cut(string(stat), ") ")
	return err != nil || strings.HasPrefix(state, "Z")
}

// Suspend stops the program by SIGSTOP, and returns once all of its threads have stopped. On a busy machine they
// go on for some time after the signal: until the thread that it was given to gets a processor.
func (h *Harness) Suspend() {
	h.t.Helper()
	h.Cmd.Process.Signal(syscall.SIGSTOP)
	WaitFor(h.t, "the program to be stopped", h.IsSuspended)
}

// IsSuspended reports whether all threads of the program are stopped.
func (h *Harness) IsSuspended() bool {
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", h.Cmd.Process.Pid))
	if err != nil || len(stats) == 0 {
		return false
	}
	for _, path := range stats {
		stat, err := os.ReadFile(path)
		if err != nil {
			return false
		}
		_, state, _ := strings.Cut(string(stat), ") ")
		if !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// Resume continues the program after Suspend.
func (h *Harness) Resume() { h.Cmd.Process.Signal(syscall.SIGCONT) }

// Log returns everything the router has logged so far.
func (h *Harness) Log() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.log.String()
}

// Logged reports whether the log contains text.
func (h *Harness) Logged(text string) bool { return strings.Contains(h.Log(), text) }

// Descriptors returns the number of file descriptors that the router has open.
func (h *Harness) Descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.Cmd.Process.Pid))
	if err != nil {
		h.t.Fatal(err)
	}
	return len(entries)
}

// PeakMemoryKB returns the router's peak resident memory, in kB.
func (h *Harness) PeakMemoryKB() (kilobytes int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.Cmd.Process.Pid))
	if err != nil {
		h.t.Fatal(err)
	}
	_, line, _ := strings.Cut(string(status), "VmHWM:")
	fmt.Sscan(line, &kilobytes)
	return kilobytes
}
