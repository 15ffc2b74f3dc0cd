package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"sedgestream/internal/standin"
)

// watchHeartbeat is how often an open watch sends an empty line while nothing changes.
const watchHeartbeat = time.Second

// discoveryServer is a stand-in discovery server for all routers: it serves the list, and watches of its
// changes.
type discoveryServer struct {
	address string

	mu         sync.Mutex
	version    int
	entries    string
	down       bool
	refusing   bool
	watchEpoch int           // incremented to silence watches: those of earlier epochs send nothing
	changed    chan struct{} // closed at each change
}

// newDiscoveryServer starts a discovery server with these list entries.
func newDiscoveryServer(tb standin.TB, entries string) *discoveryServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	d := &discoveryServer{address: listener.Addr().String(), version: 2, entries: entries, changed: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(d.serve)}
	go server.Serve(listener)
	tb.Cleanup(func() { server.Close() })
	return d
}

// update changes the server's state and wakes all watches.
func (d *discoveryServer) update(change func(*discoveryServer)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d)
	close(d.changed)
	d.changed = make(chan struct{})
}

// publish replaces the list by a new version.
func (d *discoveryServer) publish(entries string) {
	d.update(func(d *discoveryServer) { d.version, d.entries = d.version+1, entries })
}

// list returns the full list as discovery sends it.
func (d *discoveryServer) list() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listLocked()
}

// listLocked is list with the lock held.
func (d *discoveryServer) listLocked() string {
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`, d.version, d.entries)
}

// serve answers a request for the list or for a watch, as the server's state has it.
func (d *discoveryServer) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	down, refusing, watchEpoch := d.down, d.refusing, d.watchEpoch
	d.mu.Unlock()
	switch {
	case down:
		<-r.Context().Done()
	case refusing:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.FormValue("stream") != "1":
		io.WriteString(w, d.list())
	default:
		d.watch(w, r, watchEpoch)
	}
}

// watch sends changes until the connection ends. It sends nothing while the server is down, nor after the watch
// was silenced.
func (d *discoveryServer) watch(w http.ResponseWriter, r *http.Request, watchEpoch int) {
	sentVersion := 0
	for {
		d.mu.Lock()
		version, line, changed, silent := d.version, d.listLocked(), d.changed, d.down || d.watchEpoch != watchEpoch
		d.mu.Unlock()
		if !silent {
			if version == sentVersion {
				line = ""
			}
			sentVersion = version
			if _, err := io.WriteString(w, line+"\n"); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
		select {
		case <-changed:
		case <-time.After(watchHeartbeat):
		case <-r.Context().Done():
			return
		}
	}
}
