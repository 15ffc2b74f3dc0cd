package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"go.uber.org/zap"

	"sedgestream/balance"
	"sedgestream/internal/recovery"
	"sedgestream/internal/ring"
)

// Timeouts that follow from discovery's protocol. While nothing changes, a watch carries an empty line every
// 2 s. A watch that is silent for half as long again is broken, and so is a list that starts and does not end.
// Where lists are pushed, discovery answers a call at once or not at all. Where they are asked for, a slow discovery
// and one that is down look the same until a call is answered.
//
// A change that a silent watch misses counts as announced 6 s later, and so does everything in discovery's
// list 6 s after discovery became reachable; docs/told.md adds up these times. Where lists are pushed, the contents
// count as announced as soon as discovery is back, so a call without a response is hedged early.
const (
	hostsPath         = "/discovery/hosts"
	heartbeatInterval = 2 * time.Second
	silenceTimeout    = heartbeatInterval + heartbeatInterval/2
	// headerTimeout is the longest wait for a response header before a hedged call starts.
	headerTimeout = heartbeatInterval / 2
	// queuedAnswerTime is the time within which a discovery that serves calls one at a time answers or refuses
	// a call. A call without a response for longer counts as unanswered, although it continues.
	queuedAnswerTime = heartbeatInterval + heartbeatInterval/16
	// answerTimeout is the longest wait for a response header. The call continues beside newer ones, since a list that
	// arrives before its changes count as announced is in time. A call that is abandoned earlier would be answered for
	// nobody, and its successor would queue behind all others again.
	answerTimeout = AnnouncedAfter
	// fullListTimeout is the longest time from the response header to the end of the full list.
	fullListTimeout = heartbeatInterval / 2

	// AnnouncedAfter is the time after which a change counts as announced, whether or not the router received it.
	AnnouncedAfter = 3 * heartbeatInterval
)

// SetListTimeouts makes settings describe a list that has to be requested, as is always the case over
// sockets, and fills in the timeouts of this client.
func SetListTimeouts(settings *balance.Settings) {
	settings.ListOnRequest = true
	settings.ListAnnouncedAfter = int64(AnnouncedAfter)
	settings.WatchTimeout = int64(silenceTimeout)
	settings.ListCallTimeout = int64(headerTimeout)
}

// hedgeDelay returns how long a call may go unanswered before a second one is started in parallel. Where
// lists are pushed it is a fraction of the drain grace, but long enough that only a few calls are open at
// a time.
func hedgeDelay(settings *balance.Settings) time.Duration {
	if !settings.ListPushed {
		return headerTimeout
	}
	return max(headerTimeout/16, min(headerTimeout, time.Duration(settings.DrainGrace))/4)
}

// request is a call for the list.
type request struct {
	target   string
	since    progress // of the endpoint, when the call is made
	timeout  time.Duration
	forWatch bool // made by Watch; it is canceled as soon as another call has become the watch
}

// watchRequest returns a request of Watch, which may wait for its response for as long as the list can be in time.
func (c *Client) watchRequest(target string, since progress) request {
	return request{target: target, since: since, timeout: answerTimeout, forWatch: true}
}

// refetchRequest returns a request for the full list beside a watch. If it is not answered soon, the watch's
// successor fetches the list.
func (c *Client) refetchRequest(target string, since progress) request {
	return request{target: target, since: since, timeout: queuedAnswerTime}
}

// unansweredAfter returns how long a call may go unanswered before discovery counts as down when it began. Where lists are
// asked for, that is the time in which a discovery that serves calls one at a time answers.
func (c *Client) unansweredAfter() time.Duration {
	if c.listsAskedFor.Load() {
		return queuedAnswerTime
	}
	return headerTimeout
}

// progress is the state of an endpoint's lists at one moment: the version of the last list and the number
// received.
type progress struct {
	version int64
	lists   int
}

// response is a response to a list call whose header has been read.
type response struct {
	conn         net.Conn
	reader       *deadlineReader
	body         io.Reader
	watch        bool
	since        progress // of the endpoint, when the call was made or its last list arrived
	receivedList bool     // at least one list has arrived
}

// fetchFullList asks for the full list once. It returns io.EOF once the list has arrived completely. If
// onSlow is not nil, it is called when the list does not arrive within the hedge delay.
func (c *Client) fetchFullList(ep *endpoint, target string, onSlow func()) error {
	return c.fetchLists(ep, c.refetchRequest(target, c.progress(ep)), onSlow)
}

// fetchLists makes a request that is no watch, and applies all lists of its response.
func (c *Client) fetchLists(ep *endpoint, req request, onSlow func()) error {
	defer c.startHedgeTimer(ep, onSlow)()
	resp, err := c.roundTrip(ep, req)
	if err != nil {
		return err
	}
	defer c.closeConn(resp.conn)
	err = c.readLists(ep, resp)
	if err == io.EOF && !resp.receivedList { // a body of unknown length that ended before any list
		return io.ErrUnexpectedEOF
	}
	return err
}

// openWatch asks for all changes from now on. onSlow is called when the response does not start within the
// hedge delay.
func (c *Client) openWatch(ep *endpoint, onSlow func()) (*response, error) {
	defer c.startHedgeTimer(ep, onSlow)()
	since := c.progress(ep)
	target := fmt.Sprintf("%s?stream=1&index=%d", hostsPath, since.version)
	resp, err := c.roundTrip(ep, c.watchRequest(target, since))
	if err != nil {
		return nil, err
	}
	resp.watch = true
	return resp, nil
}

// startHedgeTimer calls onSlow after the hedge delay unless it is stopped before. While discovery is known to be
// refusing calls and serves them one at a time, a second call would add to its load: then the delay is as long as
// such a discovery may take to answer.
func (c *Client) startHedgeTimer(ep *endpoint, onSlow func()) (stop func()) {
	if onSlow == nil {
		return func() {}
	}
	delay := time.Duration(c.hedgeDelay.Load())
	if c.listsAskedFor.Load() && c.hasRefusedCall(ep) {
		delay = queuedAnswerTime
	}
	timer := recovery.AfterFunc(c.log, "hedged list call", delay, onSlow)
	return func() { timer.Stop() }
}

// roundTrip sends one request and reads the header of its response. It fails when that takes longer than the
// request's timeout, when its slot is needed for a newer call, or when another call has become the watch.
func (c *Client) roundTrip(ep *endpoint, req request) (resp *response, err error) {
	ctx, cancel := context.WithTimeout(c.ctx, req.timeout)
	defer cancel()
	call := c.addPending(ep, req, cancel)
	defer c.removePending(call)
	defer c.startUnansweredTimer(call)()
	conn, err := c.connect(ctx, call)
	if err != nil {
		c.reportCallFailure(call, err)
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	resp, err = c.sendRequest(ep, conn, req)
	if !stop() {
		err = ctx.Err()
	}
	if err != nil {
		c.reportCallFailure(call, err)
		c.closeConn(conn)
		return nil, err
	}
	c.recordAnswer(call)
	return resp, nil
}

// startUnansweredTimer tells the dispatcher, unless it is stopped before, that the call has had no response for longer
// than discovery should need. The call continues: a late response proves that discovery was slow.
func (c *Client) startUnansweredTimer(call *pendingCall) (stop func()) {
	delay := c.unansweredAfter()
	if call.timeout <= delay {
		return func() {}
	}
	timer := recovery.AfterFunc(c.log, "unanswered list call", delay, func() { c.reportUnanswered(call) })
	return func() { timer.Stop() }
}

// sendRequest writes the request and reads the header of the response.
func (c *Client) sendRequest(ep *endpoint, conn net.Conn, req request) (*response, error) {
	if !c.register(ep, conn) {
		return nil, net.ErrClosed
	}
	out := ring.New(ring.InitialSize, ring.InitialSize, nil)
	fmt.Fprintf(out, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", req.target, ep.address)
	if err := out.Flush(conn); err != nil {
		return nil, err
	}
	reader := &deadlineReader{endpoint: ep, conn: conn, buffer: ring.New(ring.InitialSize, ring.InitialSize, nil),
		deadline: time.Now().Add(req.timeout)}
	body, err := readResponse(bufio.NewReader(reader))
	if err != nil {
		return nil, err
	}
	reader.headerRead = true
	return &response{conn: conn, reader: reader, body: body, since: req.since}, nil
}

// readLists applies each list of a response. It returns io.EOF at the end of a complete body.
func (c *Client) readLists(ep *endpoint, resp *response) error {
	lists := c.newSplitter(resp)
	for confirmed := false; ; {
		text, err := lists.next()
		switch {
		case err == nil && len(text) > 0:
			err = c.applyList(ep, resp, text, lists.offset)
		case err == nil && resp.watch && !confirmed: // the first empty line: nothing has changed, and earlier failures are over
			confirmed = true
			c.confirmUnchanged(ep)
		}
		if malformed := (*malformedError)(nil); errors.As(err, &malformed) {
			c.log.Warn("a line from discovery is wrong", zap.String("at", ep.address),
				zap.Int64("byte", malformed.offset), zap.Error(err))
			if resp.watch {
				c.refetchFullList(ep)
				continue
			}
		}
		if err != nil {
			return err
		}
	}
}

// newSplitter returns a splitter for the lists in a response, and sets the deadlines for reading it: each
// list of a watch has to be complete soon after it starts, and a full list that was asked for has to
// arrive at once.
func (c *Client) newSplitter(resp *response) *splitter {
	lists := &splitter{r: bufio.NewReaderSize(resp.body, ring.InitialSize), onStart: func() {}, onEnd: func() {}}
	if !resp.watch {
		resp.reader.deadline = time.Now().Add(fullListTimeout)
		return lists
	}
	resp.reader.deadline = time.Time{}
	lists.onStart = func() { resp.reader.deadline = time.Now().Add(silenceTimeout) }
	lists.onEnd = func() { resp.reader.deadline = time.Time{} }
	return lists
}

// deadlineReader reads from a connection through a buffer. A read fails when nothing arrives within the
// silence timeout, after the deadline by which the header or the current list has to be complete, or after the
// endpoint's watch deadline. A header that arrives late does not count as silence.
type deadlineReader struct {
	endpoint   *endpoint
	conn       net.Conn
	buffer     *ring.Ring
	deadline   time.Time // zero: none
	headerRead bool      // the response header has been read
}

func (r *deadlineReader) Read(p []byte) (int, error) {
	if r.buffer.Len() == 0 {
		deadline := time.Now().Add(silenceTimeout)
		if !r.deadline.IsZero() && (!r.headerRead || r.deadline.Before(deadline)) {
			deadline = r.deadline
		}
		if watchDeadline := r.endpoint.watchDeadline.Load(); watchDeadline != nil && watchDeadline.Before(deadline) {
			deadline = *watchDeadline
		}
		r.conn.SetReadDeadline(deadline)
		if _, err := r.buffer.Fill(r.conn); err != nil && r.buffer.Len() == 0 {
			return 0, err
		}
	}
	return r.buffer.Read(p)
}

// applyList parses one list and delivers it; offset is where it ends in the response body. A malformed
// list is discarded as a whole, and the previous list stays in force.
func (c *Client) applyList(ep *endpoint, resp *response, text []byte, offset int64) error {
	list, err := parseListText(text)
	if err != nil {
		return &malformedError{offset, err}
	}
	resp.receivedList = true
	c.deliver(ep, resp, list)
	return nil
}

// confirmUnchanged tells the dispatcher that the list has not changed, after an empty line on a watch.
func (c *Client) confirmUnchanged(ep *endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == ep {
		ep.refusedCall = false
		c.dispatcher.UpdateList(ep.version, false, nil)
	}
}

// deliver passes a list to the dispatcher unless a newer one has already been delivered. When version
// numbers have restarted, changes may have been missed, so the full list is requested unless this one is
// full.
func (c *Client) deliver(ep *endpoint, resp *response, list ListUpdate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.accepts(ep) || ep.isOutdated(resp, list) {
		return
	}
	versionReset := list.Version < ep.version
	if resp.watch || list.Full {
		ep.listsReceived++
	}
	ep.refusedCall = false
	ep.version, ep.needsFullList = list.Version, ep.needsFullList && !list.Full
	resp.since = progress{ep.version, ep.listsReceived}
	c.dispatcher.UpdateList(list.Version, list.Full, list.Nodes)
	if versionReset && !list.Full {
		c.refetchLocked(ep)
	}
}

// isOutdated reports whether a list is older than what another call to the endpoint has already delivered.
// A lower version alone does not prove that, since a restarted discovery may count from the beginning. A
// watch delivers its lists in order, so a version below the watch's own last one means that the count has
// restarted. A full list that was requested after the last list arrived is not older than that one either.
func (ep *endpoint) isOutdated(resp *response, list ListUpdate) bool {
	switch {
	case list.Version >= ep.version:
		return false
	case resp.watch && list.Version < resp.since.version:
		return false
	case list.Full && resp.since.lists == ep.listsReceived:
		return false
	}
	return true
}
