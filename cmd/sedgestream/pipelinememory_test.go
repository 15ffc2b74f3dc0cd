package main

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"sedgestream/internal/standin"
)

// A router of 64 MB stays below its limit while many clients send many writes at once, each of whose requests is in hand
// until the primary has room for it (review case 2). It goes on to serve them, and a client that sends one request at a
// time gets its answers in time.
func TestMemoryWhileManyClientsPipeline(t *testing.T) {
	t.Parallel()
	const limitKB = 64e6 / 1024
	for _, test := range []struct{ clients, writes, valueBytes int }{{300, 120, 800}, {220, 200, 300}} {
		t.Run(fmt.Sprintf("%d clients, %d writes of %d bytes", test.clients, test.writes, test.valueBytes), func(t *testing.T) {
			primary, replica := standin.NewPair(t)
			primary.SkipRecords, replica.SkipRecords = true, true
			cores := make(chan struct{}, 5)
			primary.Handler = func(backend *pgproto3.Backend, _ standin.Conn, _ string) {
				cores <- struct{}{}
				time.Sleep(40 * time.Millisecond)
				<-cores
				primary.SendValue(backend, "v")
			}
			router := newRouter(t, primary, replica)
			router.Limits = `{"cores":1,"memory_mb":64,"sockets":1024}`
			router.Settings = strings.NewReplacer(`"aimUs":80000`, `"aimUs":400000`, `"peers":true`, `"peers":false`).Replace(standin.DefaultSettings)
			router.Start(os.Args[0])
			usual := startUsualClients(t, router, 2, func(_, timeoutMs int) string { return standin.ReadQuery(timeoutMs) })
			repeatFor(4*time.Second, test.clients, func(int, int) {
				var messages []byte
				for range test.writes {
					write := strings.Replace(standin.WriteQuery("order", 2000), `\x9f03`, `\x`+strings.Repeat("9f", test.valueBytes), 1)
					messages = append(messages, queryMessage(write)...)
				}
				sendAndRead(t, router, messages, test.writes)
			})
			usual.stopAndCheck(0.5)
			if used := router.PeakMemoryKB(); used > limitKB {
				t.Errorf("the router has used %d kB, want %d at most", used, int(limitKB))
			} else {
				t.Logf("%d kB at most", used)
			}
		})
	}
}
