// Package list asks discovery for the list of nodes: the whole of it, and a watch on its changes, over
// HTTP/1.1. When to ask is told to it.
package list

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fastjson"
	"go.uber.org/zap"

	"sedgestream/balance"
	"sedgestream/internal/desk"
	"sedgestream/internal/field"
	"sedgestream/internal/ring"
)

// As the protocol page has it: an empty line comes every 2 s while nothing changes. A watch that misses two
// in a row has broken.
const (
	path    = "/discovery/hosts"
	beat    = 2 * time.Second
	silence = 3*beat - beat/2
)

// What one line, and one header, may hold.
const (
	mostLine   = 1 << 20
	mostHeader = 16 << 10
)

// List is one answer's entries.
type List struct {
	Version int64
	Whole   bool
	Rows    []desk.Row
}

// Read reads a list in discovery's form. Nothing of a wrong one is kept.
func Read(v *fastjson.Value) (l List, err error) {
	defer field.Catch(&err)
	l.Version, l.Whole = field.Whole(v, "version", true), field.Flag(v, "full")
	for _, e := range field.Array(v, "servers", true) {
		started := field.Whole(e, "started_ms", false)
		if started < 0 || started > math.MaxInt64/int64(time.Millisecond) {
			field.Fail("started_ms is no time")
		}
		w := desk.Row{ID: field.Str(e, "id", true), Address: field.Str(e, "addr", false),
			Zone: field.Str(e, "zone", false), Group: field.Whole(e, "cell", false),
			Weight: field.Number(e, "weight", 1), Started: started * int64(time.Millisecond),
			Primary: field.Str(e, "rank", false) == "source"}
		switch state := field.Str(e, "state", true); state {
		case "up":
		case "draining":
			w.Standing = balance.Draining
		case "removed":
			w.Standing = balance.Gone
		default:
			field.Fail("state %q is none of up, draining, removed", state)
		}
		if w.ID == "" || w.Weight < 0 || w.Address == "" && w.Standing != balance.Gone {
			field.Fail("an entry lacks its id, its address or its weight")
		}
		l.Rows = append(l.Rows, w)
	}
	return l, nil
}

// Lister asks one discovery.
type Lister struct {
	Address string
	Connect time.Duration // for a connection to come up
	Desk    *desk.Desk
	Log     *zap.Logger

	mu      sync.Mutex
	version int64
	watch   net.Conn
	closed  bool
}

// Known tells the list that the router had before it started.
func (l *Lister) Known(known List) {
	l.version = known.Version
	l.Desk.List(true, known.Rows)
}

// Watch follows the changes until the watch ends, and tells the module then.
func (l *Lister) Watch() {
	err := l.follow(fmt.Sprintf("%s?stream=1&index=%d", path, l.at()), func(sock net.Conn) bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.watch = sock; l.closed {
			return false
		}
		return true
	})
	l.mu.Lock()
	l.watch = nil
	closed := l.closed
	l.mu.Unlock()
	if !closed {
		l.Log.Warn("the watch on the list ended", zap.Error(err))
		l.Desk.ListFailed()
	}
}

// Lookup asks once for the whole list.
func (l *Lister) Lookup() {
	if err := l.follow(path, func(net.Conn) bool { return true }); err != nil && err != io.EOF {
		l.Log.Warn("asking for the list failed", zap.Error(err))
		l.Desk.ListFailed()
	}
}

// Close ends the watch.
func (l *Lister) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed = true; l.watch != nil {
		l.watch.Close()
	}
}

func (l *Lister) at() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version
}

// follow sends one request and takes in each line of its answer.
func (l *Lister) follow(target string, up func(net.Conn) bool) error {
	sock, err := net.DialTimeout("tcp", l.Address, l.Connect)
	if err != nil {
		return err
	}
	defer sock.Close()
	if !up(sock) {
		return net.ErrClosed
	}
	out := ring.New(ring.First, ring.First, nil)
	fmt.Fprintf(out, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", target, l.Address)
	sock.SetWriteDeadline(time.Now().Add(l.Connect))
	if err := out.Flush(sock); err != nil {
		return err
	}
	in := &source{sock: sock, ring: ring.New(ring.First, ring.First, nil), silence: silence}
	body, err := answer(bufio.NewReader(in))
	if err != nil {
		return err
	}
	lines := bufio.NewReaderSize(body, ring.First)
	var line []byte
	for {
		part, err := lines.ReadSlice('\n')
		if line = append(line, part...); len(line) > mostLine {
			return errors.New("list: a line is too long")
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil && err != io.EOF {
			return err // a torn line is not looked at
		}
		if text := strings.TrimSpace(string(line)); text != "" {
			l.line(text)
		}
		if line = line[:0]; err != nil {
			return err
		}
	}
}

// source is the socket through its ring; a read that brings nothing for too long fails.
type source struct {
	sock    net.Conn
	ring    *ring.Ring
	silence time.Duration
}

func (s *source) Read(p []byte) (int, error) {
	if s.ring.Len() == 0 {
		s.sock.SetReadDeadline(time.Now().Add(s.silence))
		if _, err := s.ring.Fill(s.sock); err != nil && s.ring.Len() == 0 {
			return 0, err
		}
	}
	return s.ring.Read(p)
}

// line takes in one list. A wrong one is logged, and the last list stands.
func (l *Lister) line(text string) {
	v, err := fastjson.Parse(text)
	var list List
	if err == nil {
		list, err = Read(v)
	}
	if err != nil {
		l.Log.Warn("a line from discovery is wrong", zap.Error(err))
		return
	}
	l.mu.Lock()
	old := list.Version < l.version // of a call overtaken by the watch
	l.version = max(l.version, list.Version)
	l.mu.Unlock()
	if !old {
		l.Desk.List(list.Whole, list.Rows)
	}
}

// answer reads the head of an HTTP answer and gives its body.
func answer(r *bufio.Reader) (io.Reader, error) {
	status, err := headLine(r)
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(status, " ")
	if !strings.HasPrefix(version, "HTTP/1.") {
		return nil, errors.New("list: not an HTTP/1 answer")
	}
	if !strings.HasPrefix(rest, "200") {
		return nil, fmt.Errorf("list: discovery answered %q", rest)
	}
	length, chunked := int64(-1), false
	for held := 0; ; {
		h, err := headLine(r)
		if err != nil {
			return nil, err
		}
		if h == "" {
			break
		}
		if held += len(h); held > mostHeader {
			return nil, errors.New("list: the answer's head is too long")
		}
		name, value, ok := strings.Cut(h, ":")
		if !ok {
			return nil, errors.New("list: malformed header")
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			if length, err = strconv.ParseInt(value, 10, 63); err != nil || length < 0 {
				return nil, errors.New("list: malformed Content-Length")
			}
		case "transfer-encoding":
			if chunked = strings.EqualFold(value, "chunked"); !chunked {
				return nil, fmt.Errorf("list: transfer encoding %q", value)
			}
		}
	}
	switch {
	case chunked:
		return &chunks{r: r}, nil
	case length >= 0:
		return io.LimitReader(r, length), nil
	}
	return r, nil
}

// headLine is a line without its end, of bounded length.
func headLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	if err != nil {
		if err == bufio.ErrBufferFull {
			return "", errors.New("list: a line of the head is too long")
		}
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return "", err
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}

// chunks reads a chunked body.
type chunks struct {
	r      *bufio.Reader
	left   int64 // of the chunk
	inside bool
}

func (c *chunks) Read(p []byte) (int, error) {
	for c.left == 0 {
		if c.inside { // the end of the chunk before
			if end, err := headLine(c.r); err != nil || end != "" {
				return 0, errors.Join(errors.New("list: malformed chunk"), err)
			}
		}
		head, err := headLine(c.r)
		if err != nil {
			return 0, err
		}
		head, _, _ = strings.Cut(head, ";")
		if c.left, err = strconv.ParseInt(strings.TrimSpace(head), 16, 63); err != nil || c.left < 0 {
			return 0, errors.New("list: malformed chunk")
		}
		if c.inside = true; c.left == 0 {
			for { // trailers
				if t, err := headLine(c.r); err != nil {
					return 0, err
				} else if t == "" {
					return 0, io.EOF
				}
			}
		}
	}
	n, err := c.r.Read(p[:min(int64(len(p)), c.left)])
	if c.left -= int64(n); err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
