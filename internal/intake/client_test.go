package intake

import (
	"io"
	"net"
	"testing"

	"go.uber.org/zap"

	"sedgestream/balance"
	"sedgestream/internal/desk"
)

// A job that ends just before its connection is read on gives back its query's room first: the next query may
// be long in coming.
func TestAnsweredBeforeRead(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	d := desk.Open(&balance.Contract{}, 1, nil, zap.NewNop())
	c := newClient(&Intake{desk: d}, near)
	go io.WriteString(far, "a long query")
	if err := c.read(); err != nil || c.in.Len() == 0 {
		t.Fatal(err)
	}
	c.held = c.in.Len() // its job is in hand, and has been answered by now
	if err := c.read(); err != nil {
		t.Fatal(err)
	}
	if c.idleSince.Load() != 0 {
		t.Error("idle while its query stands in the buffer")
	}
}
