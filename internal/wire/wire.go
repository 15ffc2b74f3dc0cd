// Package wire connects routers in this process to a simulator by lines of JSON. It makes no decisions:
// each event is a call of a router, and each of the router's actions is written in the reply.
package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fastjson"

	"sedgestream/balance"
	"sedgestream/internal/jsonfield"
)

// Serve reads batches from in, one a line, and writes a reply line for each to out. It returns nil at the
// end of in.
func Serve(in io.Reader, out io.Writer) error {
	s := server{hosts: map[int64]*host{}}
	lines, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	var line []byte
	for number := 1; ; number++ {
		var err error
		line, err = readLine(lines, line[:0])
		if err != nil && err != io.EOF {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if len(line) > 0 {
			reply, batchErr := s.handleBatch(line)
			if batchErr != nil {
				return fmt.Errorf("line %d: %w", number, batchErr)
			}
			w.Write(reply)
			if writeErr := w.Flush(); writeErr != nil {
				return fmt.Errorf("reply to line %d: %w", number, writeErr)
			}
		}
		if err == io.EOF {
			return nil
		}
	}
}

// readLine appends the next line to line and returns it without its end. At the end of r it returns what
// remains and io.EOF.
func readLine(r *bufio.Reader, line []byte) ([]byte, error) {
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return line[:len(line)-1], nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// server holds the routers of this process and the lists that the simulator has sent.
type server struct {
	parser fastjson.Parser
	hosts  map[int64]*host // by router id
	lists  [16][]listEntry
	reply  []byte
}

// listEntry is one node of a list.
type listEntry struct {
	node, zone string
	group      int64
	standing   balance.NodeState
	weight     float64
	startedAt  int64 // Unix nanoseconds
	primary    bool
}

// handleBatch processes the events of one line and returns the reply. The reply is valid until the next
// call.
func (s *server) handleBatch(line []byte) (reply []byte, err error) {
	location := "batch"
	defer func() {
		switch p := recover().(type) {
		case nil:
		case jsonfield.Malformed:
			err = fmt.Errorf("%s: %s", location, p.Text)
		default:
			panic(p)
		}
	}()
	batch, parseErr := s.parser.ParseBytes(line)
	if parseErr != nil {
		return nil, fmt.Errorf("not JSON: %w", parseErr)
	}
	if batch.Type() != fastjson.TypeObject {
		jsonfield.Fail("want an object, have %s", batch.Type())
	}
	now := jsonfield.Int(batch, "nowUs", true) * 1000
	groups := jsonfield.Array(batch, "groups", true)
	s.reply = append(s.reply[:0], `{"groups":[`...)
	first := true
	for groupIndex, group := range groups {
		location = "groups[" + strconv.Itoa(groupIndex) + "]"
		id := jsonfield.Int(group, "routerId", true)
		h := s.hosts[id]
		if h == nil {
			h = &host{}
			s.hosts[id] = h
		}
		h.now, h.actions = now, h.actions[:0]
		for eventIndex, event := range jsonfield.Array(group, "inbox", true) {
			op := jsonfield.String(event, "op", true)
			location = fmt.Sprintf("groups[%d].inbox[%d] %s", groupIndex, eventIndex, op)
			if op == "DIRECTORY" {
				s.storeList(event)
				continue
			}
			s.handleEvent(h, op, event)
		}
		if len(h.actions) > 0 {
			if !first {
				s.reply = append(s.reply, ',')
			}
			first = false
			s.reply = append(s.reply, `{"routerId":`...)
			s.reply = strconv.AppendInt(s.reply, id, 10)
			s.reply = append(s.reply, `,"actions":[`...)
			s.reply = append(s.reply, h.actions[:len(h.actions)-1]...)
			s.reply = append(s.reply, "]}"...)
		}
	}
	s.reply = append(s.reply, "]}\n"...)
	return s.reply, nil
}

// storeList stores a list in a buffer for later events.
func (s *server) storeList(event *fastjson.Value) {
	index := s.bufferIndex(event)
	entries := s.lists[index][:0]
	for _, value := range jsonfield.Array(event, "rowsIn", false) {
		entry := listEntry{node: jsonfield.String(value, "node", true), zone: jsonfield.String(value, "hall", false),
			group:  jsonfield.Int(value, "cluster", false),
			weight: jsonfield.Float(value, "heft", 1), startedAt: jsonfield.Int(value, "launchedUs", false) * 1000,
			primary: jsonfield.Float(value, "writer", 0) == 1}
		switch jsonfield.String(value, "availability", false) {
		case "IN", "":
		case "OUT":
			entry.standing = balance.Removed
		default: // LAME or unknown: gets no new requests
			entry.standing = balance.Draining
		}
		entries = append(entries, entry)
	}
	s.lists[index] = entries
}

// bufferIndex reads which buffer an event refers to.
func (s *server) bufferIndex(event *fastjson.Value) int64 {
	index := jsonfield.Int(event, "buffer", false)
	if index < 0 || index >= int64(len(s.lists)) {
		jsonfield.Fail("buffer %d is not in 0 to %d", index, len(s.lists)-1)
	}
	return index
}

// handleEvent passes one event to a router. A panic of the router is reported as a CRASH action; that of a
// malformed event is passed on to the caller.
func (s *server) handleEvent(h *host, op string, event *fastjson.Value) {
	defer func() {
		switch p := recover().(type) {
		case nil:
		case jsonfield.Malformed:
			panic(p)
		default:
			h.write(`{"op":"CRASH","words":`).writeQuoted(fmt.Sprint(op, ": ", p)).endAction()
		}
	}()
	if h.router == nil && op != "PROVISION" && op != "DOWN" {
		jsonfield.Fail("the instance has not been provisioned")
	}
	switch op {
	case "PROVISION":
		h.provision(event)
	case "DOWN":
		*h = host{actions: h.actions[:0]}
	case "ROSTER_CHANGE":
		h.listChanged(event, s)
	case "INBOUND":
		h.requestArrived(event)
	case "FINISHED":
		h.attemptEnded(event)
	case "LEFT":
		if slot, ok := h.slots[jsonfield.Int(event, "job", true)]; ok {
			h.router.ClientLeft(slot)
		}
	case "TICK_DUE":
		h.router.OnTimer(h.now)
	case "PROBE_DONE":
		if node, ok := h.nodes[jsonfield.String(event, "node", true)]; ok {
			h.router.ProbeEnded(h.now, node, jsonfield.Int(event, "rc", false) == 0, h.report(event))
		}
	case "NEIGHBOUR_SAYS":
		h.peerMessage(event)
	case "OPENED": // ignored: this adapter has no streams
		jsonfield.String(event, "op", true)
	default:
		jsonfield.Fail("no such event")
	}
}
