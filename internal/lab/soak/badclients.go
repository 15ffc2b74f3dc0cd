package soak

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"sedgestream/internal/standin"
)

// BadClient is a kind of clients that send what usual ones do not. They stand beside usual clients, whose answers are judged.
type BadClient string

// The kinds of bad clients.
const (
	SlowWriter     BadClient = "slow writer"     // writes a long query in pieces with pauses
	HalfMessage    BadClient = "half message"    // stops in the middle of a long query
	ManyFields     BadClient = "many fields"     // startup packets and comments of very many short fields
	Unsound        BadClient = "unsound"         // unsound queries one after another at full speed
	NewNames       BadClient = "new names"       // ever new users, classes, groups and prepared statements
	ClosesUnread   BadClient = "closes unread"   // sends many requests at once and closes, or resets, without reading
	LongPipelines  BadClient = "long pipelines"  // sends several long writes at once, and reads their answers
	ReadsNoAnswers BadClient = "reads no answer" // sends requests until the router stops reading, and reads nothing
)

// badClientKinds are all kinds, in the order in which they are drawn.
var badClientKinds = []BadClient{SlowWriter, HalfMessage, ManyFields, Unsound, NewNames, ClosesUnread, LongPipelines, ReadsNoAnswers}

// Bounds of bad clients.
const (
	maxBadClientKinds    = 4
	maxBadClientsPerKind = 40  // of all routers together
	firstBadClient       = 100 // its number among the clients of its router
	longValueBytes       = 32 << 10
	badClientRandom      = 51 // the stream of random numbers, so that the rest of a scenario is as without bad clients
)

// sendsAtFullSpeed reports whether one client of a kind takes all the processor time that a router gives it.
func (k BadClient) sendsAtFullSpeed() bool {
	return k == Unsound || k == NewNames || k == ReadsNoAnswers
}

// BadClients is a number of bad clients of one kind, spread over the routers.
type BadClients struct {
	Kind  BadClient
	Count int
}

// AddBadClients draws bad clients for a scenario, by its seed. The rest of the scenario stays as it is.
func (s *Scenario) AddBadClients() {
	random := rand.New(rand.NewPCG(s.Seed, badClientRandom))
	for _, i := range random.Perm(len(badClientKinds))[:1+random.IntN(maxBadClientKinds)] {
		kind := badClientKinds[i]
		count := 1 + random.IntN(maxBadClientsPerKind)
		if kind.sendsAtFullSpeed() {
			count = 1
		}
		s.BadClients = append(s.BadClients, BadClients{kind, count})
	}
}

// badClient is one bad client of a router.
type badClient struct {
	requests *simulatedClient // draws requests, and records those that it sends
	kind     BadClient
	sent     int // names that it has used
}

// startBadClients starts the bad clients. They end with the scenario.
func (s *scenarioRun) startBadClients() {
	for i, group := range s.scenario.BadClients {
		for number := range group.Count {
			r := s.routers[number%len(s.routers)]
			b := &badClient{kind: group.Kind, requests: s.newClient(r, firstBadClient+i*maxBadClientsPerKind+number)}
			go b.runUntilStopped()
		}
	}
}

// runUntilStopped behaves over one connection after another.
func (b *badClient) runUntilStopped() {
	for !b.requests.stopped() {
		b.useConnection()
		time.Sleep(time.Duration(b.requests.random.Int64N(int64(2 * thinkTime))))
	}
}

// useConnection opens a connection and behaves on it, until it ends or the kind of client leaves.
func (b *badClient) useConnection() {
	conn, err := net.DialTimeout("tcp", b.requests.router.address, connectTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(connectTimeout))
	switch b.kind {
	case SlowWriter:
		go io.Copy(io.Discard, conn)
		conn.Write(startupPacket(""))
		writeInPieces(conn, queryMessage(longWrite(b.requests)), longValueBytes/20, 20*time.Millisecond)
	case HalfMessage:
		conn.Write(startupPacket(""))
		message := queryMessage(longWrite(b.requests))
		conn.Write(message[:1+b.requests.random.IntN(len(message)-1)])
		io.Copy(io.Discard, conn)
	case ManyFields:
		go io.Copy(io.Discard, conn)
		conn.Write(startupPacket(strings.Repeat("a\x00b\x00", 900)))
		conn.Write(queryMessage("SELECT body FROM objects WHERE oid = '00' /* " + strings.Repeat("=,", 50_000) + "id=1 */"))
	case Unsound, NewNames:
		go io.Copy(io.Discard, conn)
		conn.Write(startupPacket(b.newName("application_name\x00name %d\x00")))
		b.sendUnsound(conn)
	case ClosesUnread:
		b.closeUnread(conn)
	case LongPipelines:
		b.pipelineLongWrites(conn)
	case ReadsNoAnswers:
		conn.Write(startupPacket(""))
		for err == nil && !b.requests.stopped() {
			_, err = conn.Write(queryMessage("nonsense"))
		}
	}
}

// newName returns a text with a number that this client has not used yet.
func (b *badClient) newName(format string) string {
	b.sent++
	return fmt.Sprintf(format, b.sent)
}

// sendUnsound sends unsound messages at full speed until the connection ends.
func (b *badClient) sendUnsound(conn net.Conn) {
	const batch = 50
	for !b.requests.stopped() {
		var messages []byte
		for range batch {
			if b.kind == Unsound {
				messages = append(messages, queryMessage("nonsense")...)
				continue
			}
			name := b.newName("%d")
			messages = append(messages, queryMessage("SET application_name = 'name "+name+"'")...)
			messages = append(messages, queryMessage("SELECT body FROM objects WHERE oid = '00' /* id="+name+",c=class"+name+",d=100,cluster="+name+" */")...)
			messages = append(messages, message('P', "statement "+name+"\x00SELECT 1\x00\x00\x00")...)
			messages = append(messages, message('S', "")...)
		}
		if _, err := conn.Write(messages); err != nil {
			return
		}
	}
}

// closeUnread sends many requests at once, reads nothing, and closes or resets the connection.
func (b *badClient) closeUnread(conn net.Conn) {
	const most = 30 // as many as a router has in hand of one client
	process := b.requests.router.currentProcess()
	messages := startupPacket("")
	var requests []Request
	for range 1 + b.requests.random.IntN(most) {
		request, text := b.requests.newRequest(process)
		requests = append(requests, request)
		messages = append(messages, queryMessage(text)...)
	}
	_, err := conn.Write(messages)
	sent := time.Now()
	time.Sleep(time.Duration(b.requests.random.Int64N(int64(maxAbandonDelay))))
	if tcp, ok := conn.(*net.TCPConn); ok && b.requests.random.IntN(2) == 0 {
		tcp.SetLinger(0)
	}
	conn.Close()
	if err != nil {
		return
	}
	closed := time.Now()
	for _, request := range requests {
		request.Sent, request.ClientClosed = sent, closed
		b.requests.recorder.addRequest(request)
	}
}

// pipelineLongWrites sends several long writes at once and reads their answers.
func (b *badClient) pipelineLongWrites(conn net.Conn) {
	const most = 4
	client := standin.NewClient(silentTB{}, conn)
	if !client.Startup() {
		return
	}
	count := 1 + b.requests.random.IntN(most)
	var messages []byte
	for range count {
		messages = append(messages, queryMessage(longWrite(b.requests))...)
	}
	if _, err := conn.Write(messages); err != nil {
		return
	}
	for range count {
		if _, err := client.ReadAnswer(); err != nil {
			return
		}
	}
}

// longWrite returns a write with a long value.
func longWrite(c *simulatedClient) string {
	request, text := c.newRequest(c.router.currentProcess())
	for !request.Class.IsWrite() {
		request, text = c.newRequest(c.router.currentProcess())
	}
	return strings.Replace(text, `\x9f03`, `\x`+strings.Repeat("9f", longValueBytes), 1)
}

// writeInPieces writes a message in pieces with pauses between them, until the connection ends.
func writeInPieces(conn net.Conn, message []byte, piece int, pause time.Duration) {
	for len(message) > 0 {
		n := min(piece, len(message))
		if _, err := conn.Write(message[:n]); err != nil {
			return
		}
		message = message[n:]
		time.Sleep(pause)
	}
}

// message encodes a message of the protocol.
func message(kind byte, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, uint32(4+len(body))), body...)
}

// queryMessage encodes a query.
func queryMessage(text string) []byte { return message('Q', text+"\x00") }

// startupPacket encodes a startup packet with further fields.
func startupPacket(fields string) []byte {
	body := "\x00\x03\x00\x00user\x00worker\x00database\x00catalog\x00" + fields + "\x00"
	return append(binary.BigEndian.AppendUint32(nil, uint32(4+len(body))), body...)
}
