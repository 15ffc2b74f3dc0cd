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
	"sync/atomic"
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

// Lister asks discovery, at one address at a time.
type Lister struct {
	connect atomic.Int64 // nanoseconds for a connection to come up
	desk    *desk.Desk
	log     *zap.Logger

	mu    sync.Mutex
	at    *place // nil once closed
	watch net.Conn
}

// place is one address of discovery, until it moves. Versions are counted by each on its own.
type place struct {
	address string
	version int64
	strange bool // it has not told the whole list yet
}

// New tells the list that the router had before it started.
func New(address string, known List, connect time.Duration, d *desk.Desk, log *zap.Logger) *Lister {
	d.List(known.Version, true, known.Rows)
	l := &Lister{desk: d, log: log, at: &place{address: address, version: known.Version}}
	l.Heed(connect)
	return l
}

// Heed has calls wait for so long from now on until they are connected.
func (l *Lister) Heed(connect time.Duration) { l.connect.Store(int64(connect)) }

// Move has the list asked for at another address from now on. What is still on the way from the old one is dropped.
func (l *Lister) Move(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == nil || l.at.address == address {
		return
	}
	l.at = &place{address: address, strange: true}
	l.endWatch()
	l.desk.ListMoved()
}

func (l *Lister) endWatch() {
	if l.watch != nil {
		l.watch.Close()
		l.watch = nil
	}
}

// Watch follows the changes until the watch ends, and tells the module then. A discovery that has just become the one
// to ask tells the whole list first: it may count its versions otherwise than the one before.
func (l *Lister) Watch() {
	l.mu.Lock()
	at := l.at
	strange := at != nil && at.strange
	l.mu.Unlock()
	if at == nil {
		return
	}
	err := io.EOF
	if strange {
		err = l.follow(at, path, false)
	}
	if err == io.EOF {
		l.mu.Lock()
		target := fmt.Sprintf("%s?stream=1&index=%d", path, at.version)
		l.mu.Unlock()
		err = l.follow(at, target, true)
	}
	l.failed(at, "the watch on the list ended", err)
}

// Lookup asks once for the whole list.
func (l *Lister) Lookup() {
	l.mu.Lock()
	at := l.at
	l.mu.Unlock()
	if at == nil {
		return
	}
	if err := l.follow(at, path, false); err != nil && err != io.EOF {
		l.failed(at, "asking for the list failed", err)
	}
}

// failed tells the module, unless nobody asks there any more.
func (l *Lister) failed(at *place, words string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == at {
		l.log.Warn(words, zap.Error(err))
		l.desk.ListFailed()
	}
}

// Close ends the watch.
func (l *Lister) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = nil
	l.endWatch()
}

// stands tells whether the list is still asked for there; a watch is then the one that Close and Move end.
func (l *Lister) stands(at *place, sock net.Conn, watch bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == at && watch {
		l.watch = sock
	}
	return l.at == at
}

// follow sends one request and takes in each line of its answer.
func (l *Lister) follow(at *place, target string, watch bool) error {
	sock, err := net.DialTimeout("tcp", at.address, time.Duration(l.connect.Load()))
	if err != nil {
		return err
	}
	defer sock.Close()
	if !l.stands(at, sock, watch) {
		return net.ErrClosed
	}
	out := ring.New(ring.First, ring.First, nil)
	fmt.Fprintf(out, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", target, at.address)
	sock.SetWriteDeadline(time.Now().Add(time.Duration(l.connect.Load())))
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
			l.line(at, text)
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
func (l *Lister) line(at *place, text string) {
	v, err := fastjson.Parse(text)
	var list List
	if err == nil {
		list, err = Read(v)
	}
	if err != nil {
		l.log.Warn("a line from discovery is wrong", zap.Error(err))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if list.Version < at.version || l.at != at { // of a call overtaken by the watch, or from where nobody asks any more
		return
	}
	at.version, at.strange = list.Version, at.strange && !list.Whole
	l.desk.List(list.Version, list.Whole, list.Rows)
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
