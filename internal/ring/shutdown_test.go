package ring

import (
	"io"
	"net"
	"testing"
)

// A socket is shut for writing only if the condition holds as the system call is made. For one that has been closed, and
// for one that is none of the operating system's, there is nothing left to hold back.
func TestShutdownWrite(t *testing.T) {
	client, server := connectedPair(t)
	if ShutdownWrite(server, func() bool { return false }) || HasPending(client) {
		t.Error("shut although the condition did not hold")
	}
	if !ShutdownWrite(server, func() bool { return true }) {
		t.Error("not shut although the condition held")
	}
	if n, err := client.Read(make([]byte, 1)); n > 0 || err != io.EOF {
		t.Errorf("read %d bytes, %v, want the end of the stream", n, err)
	}
	server.Close()
	inMemory, _ := net.Pipe()
	for _, conn := range []net.Conn{server, inMemory} {
		if !ShutdownWrite(conn, func() bool { return false }) {
			t.Errorf("a %T that cannot be shut is held back", conn)
		}
	}
}

// connectedPair returns both ends of a connection.
func connectedPair(t *testing.T) (client, server net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	server, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return client, server
}
