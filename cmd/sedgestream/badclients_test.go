package main

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"sedgestream/internal/standin"
)

// Requests are served while clients send many commands at once and connect anew: while connections always arrive, no
// attempt was written, and no request in hand got an answer (review case 1).
func TestRequestsWhileClientsPipelineAndReconnect(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ clients, commands int }{{12, 400}, {32, 150}} {
		t.Run(fmt.Sprintf("%d clients, %d commands", test.clients, test.commands), func(t *testing.T) {
			t.Parallel()
			primary, replica := standin.NewPair(t)
			router := newRouter(t, primary, replica).Start(os.Args[0])
			usual := startUsualClients(t, router, 6, func(_, timeoutMs int) string { return standin.ReadQuery(timeoutMs) })
			command := queryMessage("SELECT body FROM objects WHERE oid = 'x' /* id=1,c=no-such-class,d=500,cluster=2 */")
			repeatFor(3*time.Second, test.clients, func(int, int) {
				sendAndRead(t, router, bytes.Repeat(command, test.commands), test.commands)
			})
			usual.stopAndCheck(0.5)
		})
	}
}

// Whole writes are served while other clients stop in the middle of long ones and do the same again once they are turned
// away: the memory that these had announced was what the whole ones waited for, beyond their time (review case 3).
func TestRequestsWhileClientsStopInTheMiddle(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ clients, sent, valueBytes int }{{150, 2000, 8 << 10}, {140, 5000, 24 << 10}} {
		t.Run(fmt.Sprintf("%d clients, %d bytes, values of %d bytes", test.clients, test.sent, test.valueBytes), func(t *testing.T) {
			t.Parallel()
			primary, replica := standin.NewPair(t)
			router := newRouter(t, primary, replica)
			router.Limits = `{"cores":1,"memory_mb":64,"sockets":512}`
			router.Start(os.Args[0])
			usual := startUsualClients(t, router, 4, func(_, timeoutMs int) string {
				return strings.Replace(standin.WriteQuery("order", timeoutMs), `\x9f03`, `\x`+strings.Repeat("9f", test.valueBytes), 1)
			})
			half := queryMessage(longWrite(2000))[:test.sent]
			repeatFor(3500*time.Millisecond, test.clients, func(int, int) { sendAndRead(t, router, half, 1) })
			usual.stopAndCheck(0.5)
		})
	}
}

// Requests over new connections are answered in time while others hold all connections that clients may have by messages
// of which the rest does not come.
func TestNewConnectionsWhileClientsStopInTheMiddle(t *testing.T) {
	t.Parallel()
	primary, replica := standin.NewPair(t)
	router := newRouter(t, primary, replica)
	router.Limits = `{"cores":1,"memory_mb":64,"sockets":256}`
	router.Start(os.Args[0])
	usual := startConnectingClients(t, router, 4, func(_, timeoutMs int) string { return standin.ReadQuery(timeoutMs) })
	messages := append(queryMessage(""), queryMessage(longWrite(2000))[:1000]...)
	repeatFor(4*time.Second, 150, func(int, int) { sendAndRead(t, router, messages, 2) })
	usual.stopAndCheck(0.5)
}
