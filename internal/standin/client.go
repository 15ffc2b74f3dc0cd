package standin

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Client is a client connection to the router.
type Client struct {
	Conn net.Conn
	*pgproto3.Frontend
	Detail    string                  // detail field of the last error response
	CancelKey pgproto3.BackendKeyData // key for cancel requests, once the router has sent it

	t TB
}

// NewClient returns a client on an open connection to the router.
func NewClient(t TB, conn net.Conn) *Client {
	return &Client{Conn: conn, Frontend: pgproto3.NewFrontend(conn, conn), t: t}
}

// Dial connects to the router and sends nothing yet.
func (h *Harness) Dial() *Client {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.Address)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(WaitTimeout))
	return NewClient(h.t, conn)
}

// Open connects and sends a query directly behind the startup message, without waiting for the startup's
// answer. It then reads that answer; the query's answer is left to be read.
func (h *Harness) Open(query string) *Client {
	c := h.Dial()
	c.Send(&pgproto3.StartupMessage{ProtocolVersion: 196608, Parameters: map[string]string{"user": "worker", "database": "catalog"}})
	c.SendStatement(query)
	if answer := c.Answer(); answer != "" {
		h.t.Fatal("the startup message was answered with ", answer)
	}
	return c
}

// Startup sends the startup message and reports whether it was accepted.
func (c *Client) Startup() bool {
	c.Send(&pgproto3.StartupMessage{ProtocolVersion: 196608, Parameters: map[string]string{"user": "worker", "database": "catalog"}})
	return c.Flush() == nil && c.Answer() == ""
}

// Query sends a statement and returns its answer, as ReadAnswer does.
func (c *Client) Query(query string) (answer string, err error) {
	c.Send(&pgproto3.Query{String: query})
	if err := c.Flush(); err != nil {
		return "", err
	}
	return c.readAnswer()
}

// SendStatement sends a query message without waiting for the answer.
func (c *Client) SendStatement(query string) {
	c.Send(&pgproto3.Query{String: query})
	if err := c.Flush(); err != nil {
		c.t.Error(err)
	}
}

// Answer returns the next answer: the value, or the SQLSTATE of an error. If the connection fails, the
// connection's error is appended.
func (c *Client) Answer() string {
	answer, err := c.readAnswer()
	if err != nil {
		return answer + err.Error()
	}
	return answer
}

// readAnswer implements ReadAnswer. It also keeps the cancel key and the detail of an error response.
func (c *Client) readAnswer() (answer string, err error) {
	for {
		message, err := c.Receive()
		if err != nil {
			return answer, err
		}
		switch message := message.(type) {
		case *pgproto3.DataRow:
			answer += string(message.Values[0])
		case *pgproto3.ErrorResponse:
			answer += message.Code
			c.Detail = message.Detail
		case *pgproto3.BackendKeyData:
			c.CancelKey = *message
		case *pgproto3.EmptyQueryResponse:
			answer += "empty"
		case *pgproto3.ReadyForQuery:
			return answer, nil
		}
	}
}

// ReadAnswer reads up to ReadyForQuery and returns the value, or the SQLSTATE of an error. An error is that of
// the connection; it comes with the part of the answer that was read before it.
func (c *Client) ReadAnswer() (answer string, err error) { return c.readAnswer() }

// Cancel sends a cancel request over a new connection, and returns all bytes received until that connection
// ends.
func (c *Client) Cancel(key pgproto3.BackendKeyData) (received []byte, err error) {
	conn, err := net.Dial("tcp", c.Conn.RemoteAddr().String())
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(WaitTimeout))
	frontend := pgproto3.NewFrontend(conn, conn)
	frontend.Send(&pgproto3.CancelRequest{ProcessID: key.ProcessID, SecretKey: key.SecretKey})
	if err := frontend.Flush(); err != nil {
		return nil, err
	}
	return io.ReadAll(conn)
}

// Expect fails the test unless the next answer is this one.
func (c *Client) Expect(want string) {
	c.t.Helper()
	if answered := c.Answer(); answered != want {
		c.t.Fatal(fmt.Sprintf("answered %q, want %q", answered, want))
	}
}

var lastRequestID atomic.Int64 // gives each statement an id of its own

// ReadQuery returns a read of class "view" with a deadline in milliseconds.
func ReadQuery(timeoutMs int) string {
	return fmt.Sprintf(`SELECT body FROM objects WHERE oid = '7f3a9c21e0b4d655' /* id=%016x,c=view,d=%d,cluster=2 */`,
		lastRequestID.Add(1), timeoutMs)
}

// WriteQuery returns a write of a class with a deadline in milliseconds.
func WriteQuery(class string, timeoutMs int) string {
	return fmt.Sprintf(`INSERT INTO objects (oid, body) VALUES ('7f3a9c21e0b4d655', '\x9f03') RETURNING body /* id=%016x,c=%s,d=%d,k=5c0f,cluster=2 */`,
		lastRequestID.Add(1), class, timeoutMs)
}

// ForGroup returns the query with another group than the default.
func ForGroup(group int, query string) string {
	return strings.Replace(query, fmt.Sprintf("cluster=%d", defaultGroup), fmt.Sprintf("cluster=%d", group), 1)
}

// RequestID returns the id in a query's comment.
func RequestID(query string) string {
	_, id, _ := strings.Cut(query, "id=")
	id, _, _ = strings.Cut(id, ",")
	return id
}
