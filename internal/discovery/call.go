package discovery

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"go.uber.org/zap"

	"sedgestream/internal/ring"
)

// As the protocol page has it: an empty line comes every 2 s while nothing changes. A watch that brings nothing for half as
// long again has broken, and so has a list that has begun and does not end; a call is answered at once, or not at all. What a
// silent watch misses counts as told 6 s later: that leaves time for two more calls, one of which may hang as well. Where lists
// are pushed, what discovery has counts as told at its return: a call without an answer is not waited for alone then.
const (
	path              = "/discovery/hosts"
	heartbeatInterval = 2 * time.Second
	silenceTimeout    = heartbeatInterval + heartbeatInterval/2
	headTimeout       = heartbeatInterval / 2

	// ToldAfter is after how long a change counts as told, whether or not it was heard.
	ToldAfter = 3 * heartbeatInterval
)

// fetch asks for the whole list once. It gives io.EOF once that has come whole; late is told of a call that is not answered
// at once, if anybody wants to know.
func (l *Client) fetch(at *endpoint, target string, late func()) error {
	c, err := l.call(at, target, late)
	if err != nil {
		return err
	}
	defer l.closeCall(c.sock)
	return l.consume(at, c, false)
}

// call is one whose answer has begun.
type call struct {
	sock net.Conn
	in   *source
	body io.Reader
}

// call sends one request and reads the head of its answer.
func (l *Client) call(at *endpoint, target string, late func()) (c *call, err error) {
	if after := time.Duration(l.hesitateAfter.Load()); late != nil && after > 0 {
		defer time.AfterFunc(after, late).Stop()
	}
	sock, err := net.DialTimeout("tcp", at.address, time.Duration(l.connectTimeout.Load()))
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			l.closeCall(sock)
		}
	}()
	if !l.register(at, sock) {
		return nil, net.ErrClosed
	}
	out := ring.New(ring.First, ring.First, nil)
	fmt.Fprintf(out, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", target, at.address)
	sock.SetWriteDeadline(time.Now().Add(time.Duration(l.connectTimeout.Load())))
	if err = out.Flush(sock); err != nil {
		return nil, err
	}
	in := &source{sock: sock, ring: ring.New(ring.First, ring.First, nil), until: time.Now().Add(headTimeout)}
	body, err := answer(bufio.NewReader(in))
	if err != nil {
		return nil, err
	}
	return &call{sock, in, body}, nil
}

// consume takes in each list of an answer, and gives io.EOF once that is whole.
func (l *Client) consume(at *endpoint, c *call, watch bool) error {
	lists := &splitter{r: bufio.NewReaderSize(c.body, ring.First)}
	lists.begins = func() { c.in.until = time.Now().Add(silenceTimeout) }
	lists.ends = func() { c.in.until = time.Time{} }
	if lists.ends(); !watch {
		lists.begins() // the only one, which comes at once
	}
	for stands := false; ; {
		text, err := lists.next()
		switch {
		case err == nil && len(text) > 0:
			err = l.apply(at, text, lists.at)
		case err == nil && watch && !stands: // nothing has changed, and what failed before is over
			stands = true
			l.unchanged(at)
		}
		if wrong := (*malformedError)(nil); errors.As(err, &wrong) {
			l.log.Warn("a line from discovery is wrong", zap.String("at", at.address), zap.Int64("byte", wrong.at), zap.Error(err))
			if watch {
				l.refetch(at)
				continue
			}
		}
		if err != nil {
			return err
		}
	}
}

// source is the socket through its ring; a read that brings nothing for too long fails, and so does one past the time by
// which what has begun is to be whole, if there is one.
type source struct {
	sock  net.Conn
	ring  *ring.Ring
	until time.Time
}

func (s *source) Read(p []byte) (int, error) {
	if s.ring.Len() == 0 {
		until := time.Now().Add(silenceTimeout)
		if !s.until.IsZero() && s.until.Before(until) {
			until = s.until
		}
		s.sock.SetReadDeadline(until)
		if _, err := s.ring.Fill(s.sock); err != nil && s.ring.Len() == 0 {
			return 0, err
		}
	}
	return s.ring.Read(p)
}

// apply takes in one list, which ends so many bytes into the answer's body. Of a wrong one nothing is taken, and the last
// list stands.
func (l *Client) apply(at *endpoint, text []byte, upTo int64) error {
	list, err := parse(text)
	if err != nil {
		return &malformedError{upTo, err}
	}
	l.deliver(at, list)
	return nil
}

// unchanged takes in that a watch brings empty lines: a list in which nothing has changed.
func (l *Client) unchanged(at *endpoint) {
	l.mu.Lock()
	version := at.version
	l.mu.Unlock()
	l.deliver(at, Snapshot{Version: version})
}

func (l *Client) deliver(at *endpoint, list Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if list.Version < at.version || l.at != at { // of a call overtaken by the watch, or from where nobody asks any more
		return
	}
	at.version, at.stale = list.Version, at.stale && !list.Full
	l.dispatcher.List(list.Version, list.Full, list.Servers)
}
