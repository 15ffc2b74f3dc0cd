package ring

import (
	"net"
	"testing"
)

// The number of connections that wait to be accepted is known, as each is accepted.
func TestAcceptQueueLength(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	const connections = 5
	for range connections {
		sock, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer sock.Close()
	}
	for want := connections; want >= 0; want-- {
		if got, ok := AcceptQueueLength(listener); !ok || got != want {
			t.Errorf("%d connections wait (known: %v), want %d", got, ok, want)
		}
		if want > 0 {
			sock, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			sock.Close()
		}
	}
	if _, ok := AcceptQueueLength(nil); ok {
		t.Error("the queue of no listener is known")
	}
}
