package service

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"github.com/valyala/fastjson"

	"sedgestream/internal/discovery"
	"sedgestream/internal/jsonfield"
	"sedgestream/internal/settings"
)

// Posting is what the router is told of its place: who it is, whom it speaks with, what it may use.
type Posting struct {
	Name, Listen, Discovery string
	PeerListen, PeersAll    string
	Zone                    string // its own, if the settings tell one
	Peers                   []string
	Seed                    uint64
	Cores                   float64
	Memory                  int64 // bytes
	Descriptors             int
	Known                   discovery.Snapshot
	Contract                *settings.Settings
	Settings                map[string]string // the members that it was read from, as they stand in the file
}

// What stands where the configuration names no limits: those of the deployment page.
const (
	usualCores       = 1
	usualMemory      = 192
	usualDescriptors = 1024
)

// ReadPosting reads the configuration, and the environment where that lacks a value.
func ReadPosting(env func(string) string) (p *Posting, err error) {
	defer jsonfield.Catch(&err)
	path := env("ROUTER_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("ROUTER_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("%s is not JSON: %w", path, err)
	}
	or := func(key, name string) string {
		if s := jsonfield.Str(v, key, false); s != "" {
			return s
		}
		return env(name)
	}
	p = &Posting{Name: or("name", "ROUTER_NAME"), Listen: or("listen", "ROUTER_LISTEN"),
		Discovery: or("discovery", "ROUTER_DISCOVERY"), PeerListen: jsonfield.Str(v, "peer_listen", false),
		PeersAll: jsonfield.Str(v, "peers_all", false), Cores: usualCores, Memory: usualMemory << 20,
		Descriptors: usualDescriptors}
	for _, a := range []struct{ what, address string }{{"listen", p.Listen}, {"discovery", p.Discovery},
		{"peer_listen", p.PeerListen}} {
		if a.address == "" && a.what == "peer_listen" {
			continue
		}
		to, err := netip.ParseAddrPort(a.address)
		if err != nil || !to.Addr().IsLoopback() {
			jsonfield.Fail("%s: %q is no loopback address with a port", a.what, a.address)
		}
	}
	for _, e := range jsonfield.Array(v, "peers", false) {
		p.Peers = append(p.Peers, jsonfield.Text(e))
	}
	if s := jsonfield.Str(v, "seed", false); s != "" {
		if p.Seed, err = strconv.ParseUint(s, 16, 64); err != nil {
			jsonfield.Fail("seed: %q is not hexadecimal", s)
		}
	}
	if limits := jsonfield.Any(v, "limits"); limits != nil {
		p.Cores = jsonfield.Number(limits, "cores", p.Cores)
		if mb := jsonfield.Number(limits, "memory_mb", 0); mb > 0 {
			p.Memory = int64(mb * (1 << 20))
		}
		if n := jsonfield.Whole(limits, "sockets", false); n > 0 {
			p.Descriptors = int(n)
		}
	}
	if known := jsonfield.Any(v, "known"); known != nil {
		if p.Known, err = discovery.Read(known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	section := jsonfield.Object(v, "settings")
	p.Contract = settings.Read(section)
	discovery.SetTimes(&p.Contract.Settings)
	p.Zone = jsonfield.Str(section, "locality", false)
	p.Settings = map[string]string{}
	section.GetObject().Visit(func(key []byte, member *fastjson.Value) { p.Settings[string(key)] = member.String() })
	return p, nil
}
