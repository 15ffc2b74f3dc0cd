// Package frontend serves clients: it accepts their connections, reads their queries and writes the answers.
package frontend

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sedgestream/internal/decide/admission"
	"sedgestream/internal/descriptors"
	"sedgestream/internal/dispatch"
	"sedgestream/internal/pg"
	"sedgestream/internal/recovery"
	"sedgestream/internal/ring"
	"sedgestream/internal/upstream"
)

// Server serves the clients of one listener.
type Server struct {
	dispatcher *dispatch.Dispatcher
	pool       *upstream.Pool
	log        *zap.Logger
	listener   net.Listener
	budget     *ring.Budget
	keys       cancelKeys
	ids        *requestIDs

	admissionMu sync.Mutex
	admission   *admission.Memory // of all requests in hand

	waitingForRoom atomic.Bool // accept waits for a connection to end
	backlog        backlog
	rejectsNew     atomic.Bool // no request is started any more

	mu             sync.Mutex
	clientsChanged *sync.Cond // signals changes of clients, accepting and closed
	clients        map[*client]struct{}
	maxClients     int
	maxReserved    int  // connections beyond maxClients, on which queries are rejected
	querying       int  // connections that have sent a query
	maxQuerying    int  // of these; beyond that the one idle longest is closed
	draining       bool // idle connections are closed
	closed         bool
	accepting      bool      // Serve runs
	acceptAfter    time.Time // nothing is accepted before, as descriptors are needed for other connections
	closeDeadline  time.Time // once closed: from then on only what has arrived is accepted and read, a limited number of times
	lateAccepts    int       // after the closeDeadline
}

// The platform requires that a client which sends unreadable input gets an answer, or the end of its
// connection, within 3 s of connecting. Most of that time is given to the client, to send its first query or
// the rest of a message, or to read what it is sent.
const (
	firstResponseLimit = 3 * time.Second
	readTimeout        = firstResponseLimit * 9 / 10
)

// reservedShare is the part of the client connections that is reserved for rejecting clients.
const reservedShare = 1.0 / 8

// Limits are the resources that client connections may use.
type Limits struct {
	Connections         int
	QueryingConnections int // the most connections that clients are configured to use for requests
	Budget              *ring.Budget
	RequestMemory       int64 // bytes that all requests in hand may take; 0: no limit
}

// New returns a server for the listener. It accepts connections once Serve is called.
func New(l net.Listener, d *dispatch.Dispatcher, pool *upstream.Pool, limits Limits, log *zap.Logger) *Server {
	s := &Server{dispatcher: d, pool: pool, log: log, listener: l, budget: limits.Budget,
		admission: admission.NewMemory(limits.RequestMemory),
		clients:   map[*client]struct{}{}, ids: newRequestIDs()}
	s.maxReserved = max(1, int(reservedShare*float64(limits.Connections)))
	s.maxClients = max(1, limits.Connections-s.maxReserved)
	s.maxQuerying = max(1, int((1-reservedShare)*float64(limits.QueryingConnections)))
	s.clientsChanged = sync.NewCond(&s.mu)
	return s
}

// Address returns the address that clients connect to, or "" if the system does not report it.
func (s *Server) Address() string {
	if address := s.listener.Addr(); address != nil {
		return address.String()
	}
	return ""
}

// Serve accepts connections until the server is closed. If all regular connections are in use, the one idle
// longest is closed, or else one that is stalled in the middle of a message. Until that has ended, or if there is
// none, a new client gets a reserved connection: its query is rejected if there is still no room when the query
// has arrived. If the reserved connections are in use too, accepting waits. After Close it still accepts the
// connections in the listener's queue: the system has acknowledged what these clients wrote, so they must get an
// answer.
func (s *Server) Serve() {
	s.setAccepting(true)
	defer s.setAccepting(false)
	s.accept()
	s.listener.Close() // not reached after a panic in accept: Serve is called again then
}

// accept accepts connections until the listener is closed or, once the server is closed, no connection
// arrives for acceptQuietPeriod.
func (s *Server) accept() {
	for s.shouldAccept() {
		s.waitToAccept()
		sock, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // set by shouldAccept, once closed
			if s.closeListenerUnlessPending() {
				return
			}
			continue
		case err != nil:
			s.log.Warn("accept", zap.Error(err))
			if descriptors.IsExhausted(err) {
				s.closeOneIdle()
			}
			if s.isPastCloseDeadline() { // accepting could fail for any time
				return
			}
			s.backlog.blocked.Store(true)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.backlog.blocked.Store(false)
		c := newClient(s, sock)
		s.backlog.add(c)
		s.mu.Lock()
		if c.reserved = len(s.clients) >= s.maxClients; c.reserved {
			s.makeRoomLocked(false)
		}
		for len(s.clients) >= s.maxClients+s.maxReserved {
			s.waitingForRoom.Store(true)
			s.backlog.blocked.Store(true)
			s.makeRoomLocked(false)
			s.awaitChangeLocked()
		}
		s.waitingForRoom.Store(false)
		s.backlog.blocked.Store(false)
		s.clients[c] = struct{}{}
		s.mu.Unlock()
		recovery.Go(s.log, "client", c.serve, nil)
	}
}

func (s *Server) setAccepting(accepting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepting = accepting
	s.clientsChanged.Broadcast()
}

// acceptQuietPeriod is how long no connection may have arrived for the listener's queue to count as empty.
const acceptQuietPeriod = 10 * time.Millisecond

// shouldAccept reports whether to accept more connections. Once the server is closed it gives the listener a
// deadline of acceptQuietPeriod. After the closeDeadline it only lets those be accepted that are in the queue, of
// which there may be maxListenQueue.
func (s *Server) shouldAccept() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		return true
	}
	now := time.Now()
	if now.After(s.closeDeadline) {
		s.lateAccepts++
		if s.lateAccepts > maxListenQueue || s.closeListenerUnlessPending() {
			return false
		}
	}
	l, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(now.Add(acceptQuietPeriod)) == nil
}

// acceptRetryDelay is the pause after a failed accept. It gives a connection that is being closed the time to end.
const acceptRetryDelay = 5 * time.Millisecond

// notifyChanged wakes the goroutines that wait for a connection to end.
func (s *Server) notifyChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clientsChanged.Broadcast()
}

func (s *Server) remove(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, c)
	if c.hasQueried.Load() {
		s.querying--
	}
	s.clientsChanged.Broadcast()
}

// Drain closes idle connections, now and whenever one becomes idle from now on. A client that connects after
// this call may still send one query.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.clients {
		if c.hasQueried.Load() {
			c.closeIdle(c.idleSince.Load())
		}
	}
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// isPastCloseDeadline reports whether what is still accepted and read is limited. Otherwise a client that keeps
// sending could hold up the shutdown forever.
func (s *Server) isPastCloseDeadline() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed && time.Now().After(s.closeDeadline)
}

// shouldEnd reports whether a connection without a request in flight is to end. Idle is whether it has had a
// query and has no input.
func (s *Server) shouldEnd(idle bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed || s.draining && idle
}

// Close closes the listener once the connections in its queue are accepted, starts no request any more, and
// makes connections end that have no request in flight: it wakes each, which then sees that the server is
// closed. Input that has arrived by then, and until the connection ends, is answered first.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.rejectsNew.Store(true)
	s.closed, s.closeDeadline = true, time.Now().Add(lingerTimeout)
	if l, ok := s.listener.(interface{ SetDeadline(time.Time) error }); !ok || l.SetDeadline(time.Now().Add(acceptQuietPeriod)) != nil {
		s.listener.Close()
	}
	for c := range s.clients {
		if !c.closeIdle(c.idleSince.Load()) && c.inFlight.Load() == 0 {
			c.sock.SetReadDeadline(ring.PastDeadline)
		}
	}
	s.clientsChanged.Broadcast()
}

// Wait returns once all connections have ended, each with the answers it must get. Drain and Close must have
// been called.
func (s *Server) Wait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.accepting || len(s.clients) > 0 {
		s.clientsChanged.Wait()
	}
}

// ClientCount returns the number of open connections.
func (s *Server) ClientCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)
}

func newClient(s *Server, sock net.Conn) *client {
	return &client{
		server:           s,
		sock:             sock,
		messageStartedAt: time.Now(),
		connectedAt:      s.dispatcher.Now(),
		answerDone:       make(chan struct{}, 1),
		in:               ring.New(ring.InitialSize, pg.MaxMessageSize, s.budget),
		out:              ring.New(ring.InitialSize, pg.MaxMessageSize, s.budget),
	}
}
