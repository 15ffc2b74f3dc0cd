package main

import (
	"bytes"
	"fmt"
	"os"
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
