package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// entry is a node in discovery's list.
type entry struct {
	ID      string  `json:"id"`
	Address string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// list is discovery's whole list. It does not change in these cases.
type list struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

func listOf(nodes []*node) list {
	l := list{Version: 1, Full: true}
	for _, n := range nodes {
		l.Servers = append(l.Servers, entry{n.id, n.address(), "z", "std-5core", 2, "up", 1, 0})
	}
	return l
}

// startDiscovery serves the list over HTTP/1.1: whole, or as a watch with an empty line every 2 s.
func startDiscovery(l list) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	text, err := json.Marshal(l)
	if err != nil {
		return "", err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/discovery/hosts" {
			http.NotFound(w, r)
			return
		}
		watch := r.URL.Query().Get("stream") == "1"
		if !watch || r.URL.Query().Get("index") != fmt.Sprint(l.Version) {
			w.Write(append(text, '\n'))
		}
		for watch {
			fmt.Fprint(w, "\n")
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
			}
		}
	})
	background.Go(func() { http.Serve(listener, handler) })
	return listener.Addr().String(), nil
}
