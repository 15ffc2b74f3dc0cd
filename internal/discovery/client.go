// Package discovery fetches the list of nodes from the discovery service over HTTP/1.1: the full list, and
// a watch on its changes. The dispatcher decides when to call it.
package discovery

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"sedgestream/balance"
	"sedgestream/internal/descriptors"
	"sedgestream/internal/dispatch"
	"sedgestream/internal/recovery"
)

// Client calls discovery, at one address at a time. It is safe for concurrent use.
type Client struct {
	// In nanoseconds: the time a connection may take to open, and the time after which the dispatcher is told that
	// a call is slow.
	connectTimeout, hedgeDelay atomic.Int64
	listsAskedFor              atomic.Bool // rather than pushed
	dispatcher                 *dispatch.Dispatcher
	log                        *zap.Logger

	Dialer *descriptors.Dialer // nil: no connection is closed to free a descriptor for a call
	slots  chan struct{}       // semaphore of open calls
	ctx    context.Context     // canceled by Close
	cancel context.CancelFunc

	mu       sync.Mutex
	current  *endpoint             // nil once closed
	previous *endpoint             // the endpoint before current; its lists count until current has delivered one
	conns    map[net.Conn]struct{} // of open calls
	pending  []*pendingCall        // calls without a response header, oldest first
	tasks    sync.WaitGroup        // background full-list fetches
}

// endpoint is one address of discovery while it is in use. Each endpoint numbers its list versions
// independently.
type endpoint struct {
	address         string
	version         int64                     // of the last list
	listsReceived   int                       // number of lists, except partial ones outside the watch
	needsFullList   bool                      // no full list has arrived yet, or something malformed has since
	refusedCall     bool                      // it has refused a call since its last list
	fetching        bool                      // a full list is being fetched in parallel to the watch
	refetchRequests int                       // number of malformed lines and version restarts seen
	watch           net.Conn                  // connection of the open watch, if any
	watchDeadline   atomic.Pointer[time.Time] // when the watch ends after the address changed; nil: it has not changed
}

// New returns a client for the discovery at address, and delivers the list that the router knew before its
// start to the dispatcher.
func New(address string, known ListUpdate, settings *balance.Settings, dispatcher *dispatch.Dispatcher,
	log *zap.Logger) *Client {
	dispatcher.UpdateList(known.Version, true, known.Nodes)
	c := &Client{dispatcher: dispatcher, log: log, current: &endpoint{address: address, version: known.Version},
		conns: map[net.Conn]struct{}{},
		slots: make(chan struct{}, maxCalls)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.Configure(settings)
	return c
}

// Configure applies settings to all calls from now on.
func (c *Client) Configure(settings *balance.Settings) {
	c.connectTimeout.Store(settings.ConnectTimeout)
	c.hedgeDelay.Store(int64(hedgeDelay(settings)))
	c.listsAskedFor.Store(!settings.ListPushed)
}

// SetAddress moves the client to another address. What the old watch has already sent is still read, up to
// the first list from the new address: it counts as announced, and the new address may not answer for a
// while.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setAddressLocked(address)
}

// setAddressLocked is SetAddress for a caller that holds the lock.
func (c *Client) setAddressLocked(address string) {
	if c.current == nil || c.current.address == address {
		return
	}
	old := c.current
	c.previous, c.current = old, &endpoint{address: address, needsFullList: true}
	c.cancelPendingLocked(func(*pendingCall) bool { return true })
	for conn := range c.conns {
		if conn != old.watch {
			conn.Close()
		}
	}
	if old.watch != nil {
		deadline := time.Now().Add(oldWatchTimeout)
		old.watchDeadline.Store(&deadline)
		old.watch.SetReadDeadline(deadline)
	}
	c.dispatcher.ListSourceChanged()
}

// oldWatchTimeout is how long data that the old watch has already sent is read after the address changed.
const oldWatchTimeout = 100 * time.Millisecond

// accepts reports whether lists from an endpoint are used: it is the current one, or the previous one
// while the current one has delivered none. The caller holds the lock.
func (c *Client) accepts(ep *endpoint) bool {
	return c.current != nil && (c.current == ep || c.previous == ep && c.current.listsReceived == 0)
}

// Watch follows changes of the list until the watch ends, and reports its end to the dispatcher. On a new
// endpoint it fetches the full list first, since versions may be numbered differently there. Several may run at once:
// a call that is not answered continues beside newer ones, and the first that is answered becomes the watch.
func (c *Client) Watch() {
	c.mu.Lock()
	ep := c.current
	if ep == nil || ep.watch != nil {
		c.mu.Unlock()
		return
	}
	needsFullList := ep.needsFullList
	c.mu.Unlock()
	// A call made while discovery was down may never be answered. The dispatcher then starts another Watch in
	// parallel, and the first call to be answered becomes the watch. Until then each Watch reports at most one
	// failure, and none once another has become the watch.
	var once sync.Once
	reportOnce := func(message string, err error) {
		if !c.hasWatch(ep) {
			once.Do(func() { c.reportFailure(ep, message, err) })
		}
	}
	onSlow := func() { reportOnce("discovery does not answer at once", nil) }
	if needsFullList {
		err := c.fetchLists(ep, c.watchRequest(hostsPath, c.progress(ep)), onSlow)
		if err != io.EOF {
			reportOnce("the watch on the list ended", err)
			return
		}
		if c.hasWatch(ep) {
			return
		}
	}
	resp, err := c.openWatch(ep, onSlow)
	if err != nil {
		reportOnce("the watch on the list ended", err)
		return
	}
	if !c.claimWatch(ep, resp.conn) {
		c.closeConn(resp.conn)
		return // another call became the watch first
	}
	err = c.readLists(ep, resp)
	c.releaseWatch(ep)
	c.closeConn(resp.conn)
	c.reportFailure(ep, "the watch on the list ended", err)
}

// claimWatch makes conn the endpoint's watch unless there is one already, and reports whether conn is the
// watch. All other calls that could have become the watch end, so that discovery need not answer them.
func (c *Client) claimWatch(ep *endpoint, conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ep.watch != nil {
		return false
	}
	ep.watch = conn
	c.cancelPendingLocked(func(call *pendingCall) bool { return call.endpoint == ep && call.forWatch })
	return true
}

// hasWatch reports whether the endpoint has an open watch.
func (c *Client) hasWatch(ep *endpoint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ep.watch != nil
}

func (c *Client) releaseWatch(ep *endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ep.watch = nil
}

// FetchList fetches the full list once.
func (c *Client) FetchList() {
	c.mu.Lock()
	ep := c.current
	c.mu.Unlock()
	if ep == nil {
		return
	}
	if err := c.fetchFullList(ep, hostsPath, nil); err != nil && err != io.EOF {
		c.reportFailure(ep, "asking for the list failed", err)
	}
}

// progress returns the state of an endpoint's lists.
func (c *Client) progress(ep *endpoint) progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	return progress{ep.version, ep.listsReceived}
}

// refetchFullList fetches the full list at once, after a malformed line that may have held a change which
// is not sent again.
func (c *Client) refetchFullList(ep *endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refetchLocked(ep)
}

// refetchLocked starts fetching the full list in parallel to the watch, which continues. The caller holds
// the lock.
func (c *Client) refetchLocked(ep *endpoint) {
	ep.refetchRequests++
	ep.needsFullList = true
	if c.current != ep || ep.fetching {
		return
	}
	ep.fetching = true
	c.tasks.Add(1)
	recovery.Go(c.log, "whole list", func() { c.fetchUntilCurrent(ep) }, nil)
}

// fetchUntilCurrent fetches the full list. It repeats the call if another refetch was requested meanwhile,
// or if changes on the watch have overtaken the list. If the fetch fails, the watch is closed, and the
// next one starts with the full list.
func (c *Client) fetchUntilCurrent(ep *endpoint) {
	defer c.tasks.Done()
	c.mu.Lock()
	defer c.mu.Unlock()
	onSlow := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closeWatchLocked(ep)
	}
	for {
		requests, received := ep.refetchRequests, ep.listsReceived
		c.mu.Unlock()
		err := c.fetchFullList(ep, hostsPath, onSlow)
		c.mu.Lock()
		if c.current == ep && err != io.EOF {
			c.log.Warn("asking for the whole list after a wrong one failed", zap.Error(err))
			c.closeWatchLocked(ep)
		}
		overtaken := ep.needsFullList && ep.listsReceived != received
		if err != io.EOF || c.current != ep || requests == ep.refetchRequests && !overtaken {
			ep.fetching = false
			return
		}
	}
}

// closeWatchLocked closes the open watch, if any; the next one starts with the full list. The caller holds
// the lock.
func (c *Client) closeWatchLocked(ep *endpoint) {
	ep.needsFullList = true
	if ep.watch != nil {
		ep.watch.Close()
	}
}

// reportCallFailure tells the dispatcher what a failed call says about whether discovery is reachable.
func (c *Client) reportCallFailure(call *pendingCall, err error) {
	var refusal *refusedError
	wasRefused := errors.As(err, &refusal)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.current != call.endpoint || call.canceled:
	case wasRefused:
		call.endpoint.refusedCall = true
		c.recordAnswerLocked(call)
		c.dispatcher.ListRefused()
	case isUnreachable(err):
		c.dispatcher.ListUnreachable(time.Since(call.start))
	}
}

// reportUnanswered tells the dispatcher that a pending call has had no response so far.
func (c *Client) reportUnanswered(call *pendingCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == call.endpoint && slices.Contains(c.pending, call) {
		c.dispatcher.ListUnanswered(time.Since(call.start))
	}
}

// recordAnswer takes an answered call off the pending calls and tells the dispatcher that discovery could be reached
// since the call started.
func (c *Client) recordAnswer(call *pendingCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordAnswerLocked(call)
}

// recordAnswerLocked is recordAnswer for a caller that holds the lock. Where lists are pushed, a response header tells
// nothing: what discovery has counts as announced at its return, without the time that the router allows elsewhere.
func (c *Client) recordAnswerLocked(call *pendingCall) {
	c.removePendingLocked(call)
	if c.current == call.endpoint && c.listsAskedFor.Load() {
		c.dispatcher.ListAnswered(time.Since(call.start))
	}
}

// isUnreachable reports whether a call failed because nobody answered.
func isUnreachable(err error) bool {
	for _, reason := range []error{os.ErrDeadlineExceeded, context.DeadlineExceeded, syscall.ECONNREFUSED, syscall.EHOSTUNREACH,
		syscall.ENETUNREACH, syscall.ETIMEDOUT} {
		if errors.Is(err, reason) {
			return true
		}
	}
	return false
}

// hasRefusedCall reports whether discovery has refused a call since its last list.
func (c *Client) hasRefusedCall(ep *endpoint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ep.refusedCall
}

// reportFailure logs a failure and reports it to the dispatcher, unless the endpoint is no longer current.
func (c *Client) reportFailure(ep *endpoint, message string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == ep {
		c.log.Warn(message, zap.Error(err))
		c.dispatcher.ListFailed()
	}
}

// Close ends the watch and all other calls, and waits for background fetches.
func (c *Client) Close() {
	c.cancel()
	c.mu.Lock()
	c.current, c.previous = nil, nil
	for conn := range c.conns {
		conn.Close()
	}
	c.mu.Unlock()
	c.tasks.Wait()
}

// register adds a connection to those that Close and SetAddress close, and reports whether the endpoint is
// still current.
func (c *Client) register(ep *endpoint, conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == ep {
		c.conns[conn] = struct{}{}
	}
	return c.current == ep
}

// closeConn closes the connection of a call and frees its slot.
func (c *Client) closeConn(conn net.Conn) {
	conn.Close()
	c.releaseSlot()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}
