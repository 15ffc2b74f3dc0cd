package frontend

import (
	"io"
	"slices"
	"time"

	"sedgestream/balance"
	"sedgestream/internal/dispatch"
	"sedgestream/internal/pg"
	"sedgestream/internal/recovery"
	"sedgestream/internal/request"
	"sedgestream/internal/ring"
	"sedgestream/internal/upstream"
)

// transitAllowance is the time in nanoseconds that a query and its answer together may take between client
// and router. A client's timeout runs from when it sends the query.
const transitAllowance = int64(10 * time.Millisecond)

// handleLongQuery is handleQuery for the long query at the front of the buffer, whose message has so many bytes.
func (c *client) handleLongQuery(size int) error {
	long := c.in.Detach(size)
	requests := c.startedRequests
	err := c.handleQuery(pg.Body(long.Bytes()), long)
	if c.startedRequests == requests {
		long.Recycle()
	}
	return err
}

// handleQuery starts a request for a query, or answers the query at once. A long query lies in memory of its own, which the request
// takes over.
func (c *client) handleQuery(body []byte, long *ring.Memory) error {
	if len(body) == 0 || body[len(body)-1] != 0 {
		return c.sendFatal(pg.ProtocolViolation, "malformed query")
	}
	startedAt := c.noteQuery()
	text := body[:len(body)-1]
	if pg.IsEmpty(text) {
		return c.reply(pg.AppendEmptyQuery(nil))
	}
	if tag := pg.SessionCommandTag(text); tag != "" {
		return c.reply(pg.AppendCommandComplete(nil, tag))
	}
	parse := pg.ParseStatement
	if long != nil {
		parse = pg.ParseStatementInPlace
	}
	statement, err := parse(text)
	if err != nil {
		return c.replyError(pg.SyntaxError, err.Error())
	}
	policy := c.server.dispatcher.Policy() // the same for all that follows, even if settings are reloaded meanwhile
	req, fault := c.newRequest(policy, statement)
	if fault != "" {
		return c.replyError(pg.InvalidParameter, fault)
	}
	if c.server.rejectsNew.Load() {
		return c.rejectAsClosed()
	}
	if c.reserved && !c.server.awaitRegularSlot(c.slotWait(statement, req)) {
		return c.sendTooManyConnections()
	}
	c.reserved = false
	if c.server.rejectsNew.Load() { // closed while the query waited for its place
		return c.rejectAsClosed()
	}
	if c.hasGone(startedAt) { // no attempt is sent for it
		return io.EOF
	}
	return c.admitRequest(statement, req, long, requestMemory(len(body), long))
}

// noteQuery records that a query has come whole, and returns when its message began to arrive.
func (c *client) noteQuery() (startedAt time.Time) {
	if !c.hasQueried.Swap(true) {
		c.server.countQuerying()
	}
	startedAt = c.messageStartedAt
	c.messageStartedAt, c.messageTimedOut = time.Time{}, false
	return startedAt
}

// rejectAsClosed rejects a query as the server is closed. The client may retry it at another router at once.
func (c *client) rejectAsClosed() error {
	return c.reply(pg.AppendReadyForQuery(pg.AppendRejection(nil, "")))
}

// rejectForMemory rejects a query as there is no memory for it.
func (c *client) rejectForMemory(policy *dispatch.Policy) error {
	retryAfter := retryAfterMillis(policy.Settings.MaxRetryAfter)
	return c.reply(pg.AppendReadyForQuery(pg.AppendRejection(nil, retryAfter)))
}

// admitRequest starts a request if there is memory for it. Without, a client that has no request in hand is told when to
// come back; another one's query waits until the client has got an answer, for which errAwaitAnswer is returned.
func (c *client) admitRequest(statement *pg.Statement, req dispatch.Request, long *ring.Memory, memory int64) error {
	inFlight := c.inFlight.Load()
	switch {
	case c.server.admit(memory, inFlight > 0):
	case inFlight > 0:
		c.waitForAnswer(inFlight)
		return errAwaitAnswer
	default:
		return c.rejectForMemory(req.Policy)
	}
	if !c.server.ids.claim(statement.ID) {
		c.server.releaseMemory(memory)
		return c.replyError(pg.InvalidParameter, "a query with this id is open already, or may have run")
	}
	c.startRequest(statement, req, long, memory)
	return nil
}

// newRequest returns the request that a statement describes, without its timeout, or what is wrong with the
// statement.
func (c *client) newRequest(policy *dispatch.Policy, statement *pg.Statement) (req dispatch.Request, fault string) {
	class, ok := policy.Settings.ClassByName[statement.Class]
	if !ok {
		return req, "unknown class in the comment"
	}
	group, ok := c.server.dispatcher.GroupIndex(statement.Group)
	if !ok {
		return req, "unknown cluster in the comment"
	}
	settings := &policy.Settings.Classes[class]
	if settings.RetrySafety == balance.Deduplicated && !statement.HasDedupKey {
		return req, "requests of this class need an idempotency key: k in the comment"
	}
	if statement.Write != (settings.Consistency == balance.Write) {
		return req, "requests of this class need the other kind of statement: INSERT for writes, SELECT for reads"
	}
	return dispatch.Request{
		ID:          statement.ID,
		Policy:      policy,
		Class:       class,
		Group:       group,
		MinPosition: statement.MinPositionMillis * int64(time.Millisecond),
		GroupName:   statement.Group,
		Key:         statement.ObjectID,
		Write:       statement.Write,
		IsRetry:     statement.IsRetry,
	}, ""
}

// startRequest starts the request of a statement whose id is claimed, and for which so much memory was taken. The memory of a long one
// is the request's from now on.
func (c *client) startRequest(statement *pg.Statement, req dispatch.Request, long *ring.Memory, memory int64) {
	c.startedRequests++
	req.Timeout = c.remainingTime(statement, req)
	answer := &pendingAnswer{client: c, id: statement.ID, query: long, memoryBytes: memory}
	answer.repeatable = req.Policy.Settings.Classes[req.Class].RetrySafety == balance.Idempotent
	answer.memoryUsers.Store(memoryUsers)
	answer.handle = request.Start(c.server.dispatcher, req, answer,
		upstream.Sender{Pool: c.server.pool, Statement: statement, IsWanted: answer.isWanted})
	wasEnding, canceled := c.appendAndTakeCancel(answer)
	if wasEnding {
		c.server.notifyChanged()
	}
	if canceled {
		answer.cancel()
	}
	// The request's callbacks run from here on: the answer is pending by now, and a cancel request finds the
	// handle.
	run := func() {
		defer answer.releaseMemory()
		defer answer.releaseID()
		answer.handle.Run()
	}
	recovery.Go(c.server.log, "request", run, answer.Failed)
}

// remainingTime returns how much longer the client waits, in nanoseconds. It is bounded by the deadline of
// the settings, so that a timeout of days cannot keep a slot. The time that the query has waited here is
// deducted, and so is the time in transit: a request that ends at its deadline would otherwise be answered
// after the client has given up.
func (c *client) remainingTime(statement *pg.Statement, req dispatch.Request) int64 {
	remaining := statement.TimeoutMillis * int64(time.Millisecond)
	if limit := req.Policy.Settings.Deadlines[req.Class]; limit > 0 {
		remaining = min(remaining, limit)
	}
	remaining -= c.server.dispatcher.Now() - c.readAt
	return remaining - min(transitAllowance, remaining/16)
}

// slotWait returns how long a request may wait for a regular connection.
func (c *client) slotWait(statement *pg.Statement, req dispatch.Request) time.Duration {
	return time.Duration(slotWaitShare * float64(c.remainingTime(statement, req)))
}

// hasGone reports whether the client of the current query has disconnected, which may be unread behind its
// input. It checks the socket only if the query, whose message began to arrive at the given time, may have
// waited here or in the socket.
func (c *client) hasGone(startedAt time.Time) bool {
	check := !c.endChecked || c.hasWaited(startedAt)
	c.endChecked = true
	return check && ring.PeerClosed(c.sock)
}

// maxCheckAge is how old the check for a client's disconnect may be when an attempt is written for it: a part
// of the time after which nothing may be sent for a client that has gone. A check that took longer is
// repeated.
const maxCheckAge = 20 * time.Millisecond

// maxBacklogWaits is how often an attempt waits for the backlog. After that it begins though input may not be examined:
// where the input of others takes all processor time, no wait would end otherwise.
const maxBacklogWaits = 3

// isWanted implements upstream.WantedFunc for a request. Before it looks, it waits until input that has
// arrived is processed, as it may hold a cancel request. An attempt is not wanted past its deadline.
func (a *pendingAnswer) isWanted(deadline time.Time) (wanted bool, asOf time.Time) {
	c := a.client
	for waits := 1; ; waits++ {
		asOf = time.Now()
		stalled := c.server.dispatcher.WaitAfterStall()
		if stalled {
			asOf = time.Now()
		}
		complete := c.server.catchUp(stalled, deadline)
		if waits == maxBacklogWaits {
			complete, asOf = true, time.Now()
		}
		if a.isCanceled.Load() || !time.Now().Before(deadline) || !c.isConnected() {
			return false, asOf
		}
		if complete && time.Since(asOf) <= maxCheckAge {
			return true, asOf
		}
	}
}

// isConnected reports whether the client is still connected. It checks the socket if the client was last seen
// more than a tick ago, or if the process was stalled recently: then the connection's goroutine may not have
// read the end of the stream yet, even if it has just read the input before it.
func (c *client) isConnected() bool {
	dispatcher := c.server.dispatcher
	now := dispatcher.Now()
	if now-c.seenAt.Load() <= dispatcher.Policy().Settings.TickInterval && !dispatcher.StalledRecently() {
		return true
	}
	if ring.PeerClosed(c.sock) {
		c.markGone()
		return false
	}
	c.seenAt.Store(now)
	return true
}

// hasWaited reports whether the current query, whose message began to arrive at the given time, has been here
// for longer than a tick.
func (c *client) hasWaited(startedAt time.Time) bool {
	tick := c.server.dispatcher.Policy().Settings.TickInterval
	return c.server.dispatcher.Now()-c.readAt > tick || !startedAt.IsZero() && time.Since(startedAt) > time.Duration(tick)
}

// appendPending adds a pending answer. It reports whether the connection was about to be closed as idle, which it
// prevents.
func (c *client) appendPending(a *pendingAnswer) (wasEnding bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasEnding = c.idleSince.Swap(0) == idleClosing
	if c.gone { // seen by an attempt, and not yet by the connection's goroutine
		a.isAbandoned.Store(true)
		a.handle.ClientLeft()
		a.releaseMemory()
		return wasEnding
	}
	a.followsAnswers = !slices.ContainsFunc(c.pending, func(earlier *pendingAnswer) bool { return earlier.parts == nil })
	c.pending = append(c.pending, a)
	c.inFlight.Store(int32(len(c.pending)))
	return wasEnding
}

// replyError answers a query with an error, after which the connection goes on.
func (c *client) replyError(state, message string) error {
	return c.reply(pg.AppendReadyForQuery(pg.AppendError(nil, "ERROR", state, message, "")))
}
