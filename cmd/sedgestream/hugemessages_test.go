package main

import (
	"net"
	"os"
	"testing"
	"time"

	"sedgestream/internal/standin"
)

// Requests are answered in time while other clients send messages of 60 MB at full speed: they hear that such a message is
// refused, and what they go on sending takes no processor time from others.
func TestRequestsWhileClientsSendHugeMessages(t *testing.T) {
	t.Parallel()
	primary, replica := standin.NewPair(t)
	router := newRouter(t, primary, replica).Start(os.Args[0])
	usual := startUsualClients(t, router, 6, func(_, timeoutMs int) string { return standin.ReadQuery(timeoutMs) })
	block := make([]byte, 1<<20)
	repeatFor(4*time.Second, 100, func(int, int) { sendHugeMessage(t, router, block) })
	usual.stopAndCheck(0.5)
}

// sendHugeMessage sends a message of 60 MB over a new connection until the router closes that.
func sendHugeMessage(t *testing.T, router *standin.Harness, block []byte) {
	const size = 60 << 20
	sock, err := net.Dial("tcp", router.Address)
	if err != nil {
		t.Error(err)
		return
	}
	defer sock.Close()
	sock.SetDeadline(time.Now().Add(5 * time.Second))
	client := standin.NewClient(t, sock)
	if !client.Startup() {
		return
	}
	if _, err := sock.Write([]byte{'Q', size >> 24, size >> 16 & 0xff, size >> 8 & 0xff, size & 0xff}); err != nil {
		return
	}
	for sent := 0; sent < size; sent += len(block) {
		if _, err := sock.Write(block); err != nil {
			return
		}
	}
}
