package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"sedgestream/internal/standin"
)

// Behaviour of clients.
const (
	maxPipelined        = 4
	meanRequestsPerConn = 12                    // on one connection, before the client closes it
	thinkTime           = 25 * time.Millisecond // mean pause between requests, uniformly distributed
	maxAbandonDelay     = 60 * time.Millisecond // from sending a request to abandoning it
	extraAnswerWait     = 2 * time.Second       // wait for an answer beyond the longest deadline
	connectTimeout      = time.Second
)

// lastRequestID makes request ids unique across all scenarios of the process.
var lastRequestID atomic.Int64

// simulatedClient is a client of one router. It sends requests until the scenario is over.
type simulatedClient struct {
	scenario          *Scenario
	store             *store
	router            *router
	recorder          *recorder
	random            *rand.Rand
	stop              <-chan struct{}
	session           string    // key of the object that it reads and writes
	lastCommit        time.Time // latest commit of its session that it knows of
	lastCommitProcess int       // process that answered that write
}

// runUntilStopped sends requests until the scenario is over.
func (c *simulatedClient) runUntilStopped(done *sync.WaitGroup) {
	defer done.Done()
	for !c.stopped() {
		process := c.router.currentProcess()
		if process < 0 || !c.useConnection(process) {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// stopped reports whether the scenario is over.
func (c *simulatedClient) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// currentProcess returns the number of the process that new connections go to; -1: none.
func (r *router) currentProcess() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// useConnection opens a connection and sends requests on it for a while. It returns false if the connection
// cannot be opened.
func (c *simulatedClient) useConnection(process int) bool {
	conn, err := net.DialTimeout("tcp", c.router.address, connectTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(connectTimeout))
	client := standin.NewClient(silentTB{}, conn)
	if !client.Startup() {
		return false
	}
	pipelined := c.random.Float64() < c.scenario.PipelineShare
	for !c.stopped() && c.random.IntN(meanRequestsPerConn) > 0 {
		if !c.sendRequests(client, process, pipelined) {
			return true
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * thinkTime))))
	}
	return true
}

// newRequest draws a request and returns it with its query text.
func (c *simulatedClient) newRequest(process int) (request Request, text string) {
	request = Request{ID: fmt.Sprintf("%016x", lastRequestID.Add(1)), Router: c.router.index, Process: process,
		Class: []Class{Eventual, Bounded, Bounded, Session, Session, Fresh, TokenWrite, OnceWrite}[c.random.IntN(8)]}
	request.Timeout = c.scenario.Deadlines[request.Class]
	key, minCommit := "", ""
	if request.Class == TokenWrite {
		key = ",k=" + request.ID
	}
	if request.Class == Session && !c.lastCommit.IsZero() && (!c.scenario.RouterSessions || c.lastCommitProcess == process) {
		request.SessionWrite = c.lastCommit
		if !c.scenario.RouterSessions {
			minCommit = fmt.Sprintf(",after=%d", c.lastCommit.UnixMilli())
		}
	}
	comment := fmt.Sprintf("/* id=%s,c=%s,d=%d%s,cluster=2%s */", request.ID, ClassNames[request.Class],
		request.Timeout.Milliseconds(), key, minCommit)
	if request.Class.IsWrite() {
		return request, fmt.Sprintf(`INSERT INTO objects (oid, body) VALUES ('%s', '\x9f03') RETURNING body %s`, c.session, comment)
	}
	return request, fmt.Sprintf(`SELECT body FROM objects WHERE oid = '%s' %s`, c.session, comment)
}

// sendRequests sends one request or several pipelined ones and reads the answers. It reports whether the
// connection can be used further.
func (c *simulatedClient) sendRequests(client *standin.Client, process int, pipelined bool) bool {
	count := 1
	if pipelined {
		count += c.random.IntN(maxPipelined)
	}
	var requests []Request
	client.Conn.SetDeadline(time.Now().Add(c.scenario.MaxDeadline() + extraAnswerWait))
	for range count {
		request, text := c.newRequest(process)
		started := time.Now()
		if !c.write(client, text) {
			return c.recordUnanswered(requests, time.Now(), nil)
		}
		request.Sent = time.Now()
		request.WriteTime = request.Sent.Sub(started)
		requests = append(requests, request)
	}
	if count == 1 && c.random.Float64() < c.scenario.AbandonShare {
		return c.abandon(client, requests[0])
	}
	return c.readAnswers(client, requests)
}

// write sends a query, sometimes slowly and in two pieces.
func (c *simulatedClient) write(client *standin.Client, text string) bool {
	message, err := (&pgproto3.Query{String: text}).Encode(nil)
	if err != nil {
		return false
	}
	if c.random.IntN(20) > 0 {
		_, err = client.Conn.Write(message)
		return err == nil
	}
	split := 1 + c.random.IntN(len(message)-1)
	if _, err = client.Conn.Write(message[:split]); err != nil {
		return false
	}
	time.Sleep(time.Duration(c.random.IntN(30)) * time.Millisecond)
	_, err = client.Conn.Write(message[split:])
	return err == nil
}

// readAnswers reads the answers in the order of the requests. It reports whether all of them came.
func (c *simulatedClient) readAnswers(client *standin.Client, requests []Request) bool {
	previous := time.Time{}
	for i := range requests {
		request := &requests[i]
		request.PreviousAnswered = previous
		answer, err := client.ReadAnswer()
		now := time.Now()
		if err != nil {
			return c.recordUnanswered(requests[i:], now, errors.Join(err, truncationError(answer)))
		}
		request.Answer, request.Answered, previous = answer, now, now
		c.recorder.addRequest(*request)
		if request.Class.IsWrite() && strings.HasPrefix(answer, valuePrefix) {
			c.rememberCommit(request)
		}
	}
	return true
}

var errTruncated = errors.New("the connection ended within an answer")

// truncationError returns errTruncated if a part of an answer was read, or nil.
func truncationError(answer string) error {
	if answer != "" {
		return errTruncated
	}
	return nil
}

// rememberCommit updates the session's latest commit by a write that was answered.
func (c *simulatedClient) rememberCommit(request *Request) {
	if commit := c.store.committed(request.ID); commit.After(c.lastCommit) {
		c.lastCommit, c.lastCommitProcess = commit, request.Process
	}
}

// recordUnanswered records requests whose connection ended before their answer. It always returns false.
func (c *simulatedClient) recordUnanswered(requests []Request, now time.Time, err error) bool {
	for _, request := range requests {
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			request.ConnEnded = now
		}
		request.Truncated = errors.Is(err, errTruncated) && request.ID == requests[0].ID
		request.ConnReset, request.OnlyRequest = errors.Is(err, syscall.ECONNRESET), len(requests) == 1
		c.recorder.addRequest(request)
	}
	return false
}

// abandon makes the client give up its request: it closes the connection, cancels, or stops in the middle of
// the next message. It always returns false, since the connection cannot be used further.
func (c *simulatedClient) abandon(client *standin.Client, request Request) bool {
	time.Sleep(time.Duration(c.random.Int64N(int64(maxAbandonDelay))))
	switch c.random.IntN(3) {
	case 0:
		client.Conn.Close()
		request.ClientClosed = time.Now()
		c.recorder.addRequest(request)
		return false
	case 1:
		if c.cancel(client) {
			request.Canceled = time.Now()
		}
	default:
		client.Conn.Write([]byte{'Q', 0, 0})
	}
	request.ReadFrom = time.Now()
	return c.readAnswers(client, []Request{request}) && false
}

// cancel sends a cancel request and reports whether it was written.
func (c *simulatedClient) cancel(client *standin.Client) bool {
	conn, err := net.DialTimeout("tcp", c.router.address, connectTimeout)
	if err != nil {
		return false
	}
	message, _ := (&pgproto3.CancelRequest{ProcessID: client.CancelKey.ProcessID, SecretKey: client.CancelKey.SecretKey}).Encode(nil)
	if _, err := conn.Write(message); err != nil {
		conn.Close()
		return false
	}
	go func() { // the router closes the connection
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(connectTimeout))
		io.Copy(io.Discard, conn)
	}()
	return true
}

// openIdleClients opens connections that send nothing and stay open until the router closes them or the
// scenario is over.
func (r *router) openIdleClients(count int, stop <-chan struct{}) {
	for range count {
		conn, err := net.DialTimeout("tcp", r.address, connectTimeout)
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			<-stop
		}()
	}
}
