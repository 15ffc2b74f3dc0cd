package fleet

import (
	"math"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"sedgestream/internal/standin"
)

// requestLedger records what clients know of their requests.
type requestLedger struct {
	mu   sync.Mutex
	byID map[string]*request
}

// request is a request as its client saw it.
type request struct {
	class     string
	group     int
	router    string
	startedAt time.Time
	duration  time.Duration
	answer    string // the value, the SQLSTATE of an error, or "lost: " and the reason; "" while it is open
	excused   bool   // its router was killed, suspended or starved meanwhile
}

// Time limits of requests in standin.ShortTimeoutSettings.
const (
	hardLimit    = 2000 * time.Millisecond
	repeatWindow = 1200 * time.Millisecond
	drainGrace   = 500 * time.Millisecond
	timingSlack  = 750 * time.Millisecond // tolerance of all checks of time, as other work may slow the machine
)

// classes are the request classes, used in turn.
var classes = []string{"view", "view", "view", "now", "order", "once"}

// startClients starts the clients of a router. They reconnect while its process runs.
func (h *Harness) startClients(proc *process) {
	h.requests.mu.Lock()
	if h.requests.byID == nil {
		h.requests.byID = map[string]*request{}
	}
	h.requests.mu.Unlock()
	clients := h.ClientsPerRouter
	if h.ClientsFor != nil {
		clients = h.ClientsFor(proc.number)
	}
	groups := h.groups()
	random := rand.New(rand.NewPCG(h.Seed, uint64(proc.number)))
	meanPause := time.Duration(float64(h.ClientPause) * math.Exp(-h.TrafficSpread*random.NormFloat64()))
	for i := range clients {
		h.tasks.Add(1)
		client := &loadClient{
			harness:   h,
			process:   proc,
			groups:    groups,
			meanPause: meanPause,
			random:    rand.New(rand.NewPCG(h.Seed, uint64(proc.number<<16|i+1))),
		}
		go func() {
			defer h.tasks.Done()
			for n := proc.number + i; ; {
				select {
				case <-h.stop:
					return
				case <-time.After(h.ClientPause):
				}
				h.mu.Lock()
				running, address := proc.running && !proc.paused, proc.clientAddress
				h.mu.Unlock()
				if !running {
					continue
				}
				sock, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					continue
				}
				n = client.runConnection(n, sock)
				sock.Close()
			}
		}()
	}
}

// loadClient is a client of one router.
type loadClient struct {
	harness   *Harness
	process   *process
	groups    []int
	meanPause time.Duration
	random    *rand.Rand
}

// pause draws the time between an answer and the next request. It is exponential, as between requests of many clients together.
func (c *loadClient) pause() time.Duration {
	return time.Duration(float64(c.meanPause) * min(4, c.random.ExpFloat64()))
}

// runConnection sends requests over a connection until it ends. n counts the client's requests; the next value is returned.
func (c *loadClient) runConnection(n int, sock net.Conn) int {
	h, proc, groups := c.harness, c.process, c.groups
	sock.SetDeadline(time.Now().Add(time.Hour))
	client := standin.NewClient(h.t, sock)
	if !client.Startup() {
		return n
	}
	for ; ; n++ {
		select {
		case <-h.stop:
			return n
		case <-time.After(c.pause()):
		}
		class, group := classes[n%len(classes)], groups[n/len(classes)%len(groups)]
		if h.ReadsOnly {
			class, group = "view", groups[c.random.IntN(len(groups))]
		}
		query := standin.WriteQuery(class, int(hardLimit/time.Millisecond))
		if class == "view" || class == "now" {
			query = strings.Replace(standin.ReadQuery(int(hardLimit/time.Millisecond)), "c=view", "c="+class, 1)
		}
		query = standin.ForGroup(group, query)
		id := standin.RequestID(query)
		req := &request{class: class, group: group, router: proc.name, startedAt: time.Now()}
		h.requests.mu.Lock()
		h.requests.byID[id] = req
		h.requests.mu.Unlock()
		sock.SetDeadline(time.Now().Add(time.Minute))
		answer, err := client.Query(query)
		h.mu.Lock()
		// A router that was ended or suspended since then may have lost the answer, or sent it late.
		disturbed := !proc.running || proc.paused || proc.starved || proc.changedAt.After(req.startedAt)
		h.mu.Unlock()
		h.requests.mu.Lock()
		if req.duration, req.answer = time.Since(req.startedAt), answer; err != nil {
			req.answer = "lost: " + err.Error()
		}
		req.excused = disturbed
		h.requests.mu.Unlock()
		if err != nil {
			return n + 1
		}
	}
}

// countAnswers counts the requests by their answers so far.
func (h *Harness) countAnswers() (done, rejected, other, open int) {
	h.requests.mu.Lock()
	defer h.requests.mu.Unlock()
	for _, req := range h.requests.byID {
		switch {
		case strings.HasPrefix(req.answer, "from"):
			done++
		case req.answer == "53300":
			rejected++
		case req.answer == "":
			open++
		default:
			other++
		}
	}
	return done, rejected, other, open
}
