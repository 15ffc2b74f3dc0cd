package scale

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"

	"go.uber.org/zap"

	"sedgestream/internal/decide/members"
	"sedgestream/internal/discovery"
	"sedgestream/internal/dispatch"
	"sedgestream/internal/forward"
	"sedgestream/internal/member"
	"sedgestream/internal/ring"
	"sedgestream/internal/service"
	"sedgestream/internal/tierfile"
	"sedgestream/internal/upstream"
)

// hollow is a router without clients. It communicates with planners, members and discovery through the same modules as a real router;
// only the frontend, the handling of signals and messages to other routers are left out. Hundreds share one process.
type hollow struct {
	membership *member.Instance
	links      *forward.Links
	discovery  *discovery.Client
	dispatcher *dispatch.Dispatcher
	nodes      *upstream.Pool
	stop       chan struct{}
	tasks      sync.WaitGroup
}

// hollowConfig describes a hollow router.
type hollowConfig struct {
	name         string
	ip           net.IP // its own loopback address
	platformFile string // path of the platform's configuration file, which all hollow routers share
	tier         *tierfile.Tier
	seed         uint64
}

// Limits of a hollow router, which needs few connections to nodes.
const (
	hollowConnections = 8
	hollowBudget      = 1 << 20
	maxPortAttempts   = 20 // to find a port that is free both for datagrams and for connections
)

// startHollow starts a hollow router. It does not wait until the router has joined the membership.
func startHollow(config hollowConfig) (*hollow, error) {
	routerConfig, err := service.ReadConfig(func(name string) string {
		return map[string]string{"ROUTER_CONFIG": config.platformFile, "ROUTER_LISTEN": "127.0.0.1:0"}[name]
	})
	if err != nil {
		return nil, err
	}
	log, settings := zap.NewNop(), routerConfig.PlatformSettings
	h := &hollow{stop: make(chan struct{})}
	h.nodes = upstream.New(&settings.Settings, upstream.Limits{Connections: hollowConnections, Budget: ring.NewBudget(hollowBudget)}, log)
	h.dispatcher = dispatch.New(settings, config.seed, h.nodes, log)
	h.nodes.Dispatcher = h.dispatcher
	if h.membership, err = joinMembership(config, routerConfig.Zone); err != nil {
		return nil, err
	}
	linksConfig := forward.Config{
		Name:         config.name,
		Planners:     config.tier.Planners,
		LeaseTerm:    config.tier.LeaseTerm,
		ReportPeriod: config.tier.ReportPeriod,
		Permissions:  h.membership.Permissions,
		RouterCount:  h.membership.ForwarderCount,
		ShareLoads:   config.tier.ShareLoads,
	}
	if linksConfig.ShareLoads {
		linksConfig.SendLoadReport = h.membership.SendLoadReport
	}
	h.links = forward.New(linksConfig, h.dispatcher, log)
	if linksConfig.ShareLoads {
		h.membership.OnLoadReport(h.links.HandleLoadReport)
	}
	h.discovery = discovery.New(routerConfig.Discovery, routerConfig.KnownList, &settings.Settings, h.dispatcher, log)
	h.goTask(h.executeActions)
	h.goTask(h.links.Serve)
	h.goTask(h.membership.Serve)
	return h, nil
}

// joinMembership starts an instance of the membership at the router's own address.
func joinMembership(config hollowConfig, zone string) (*member.Instance, error) {
	memberConfig := member.Config{
		Fleet:       config.tier.Fleet,
		Name:        config.name,
		Zone:        zone,
		Kind:        members.Forwarder,
		Listen:      net.JoinHostPort(config.ip.String(), "0"),
		Seeds:       config.tier.Seeds,
		Period:      config.tier.ProbePeriod,
		ForgetAfter: config.tier.ForgetAfter,
	}
	for range maxPortAttempts {
		instance, err := member.New(memberConfig, zap.NewNop(), nil)
		if err != nil {
			return nil, err
		}
		if err = instance.Listen(); err == nil {
			return instance, nil
		}
		instance.Close()
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
	return nil, fmt.Errorf("no port of %s is free for datagrams and connections", config.ip)
}

// goTask runs a function in a goroutine that close waits for.
func (h *hollow) goTask(run func()) {
	h.tasks.Add(1)
	go func() {
		defer h.tasks.Done()
		run()
	}()
}

// executeActions carries out the actions of the balance module, as package service does. There are no other routers to send
// messages to.
func (h *hollow) executeActions() {
	for {
		select {
		case <-h.dispatcher.Pending:
		case <-h.stop:
			return
		}
		actions := h.dispatcher.TakeActions()
		if actions.WatchList {
			h.goTask(h.discovery.Watch)
		}
		if actions.FetchList {
			h.goTask(h.discovery.FetchList)
		}
		for _, node := range actions.CloseIdle {
			h.nodes.CloseIdle(node)
		}
		for _, node := range actions.Probes {
			h.nodes.Probe(node)
		}
	}
}

// close ends the router at once. It does not leave the membership, as all others end with it.
func (h *hollow) close() {
	close(h.stop)
	h.discovery.Close()
	h.links.Close()
	h.membership.Close()
	h.nodes.CloseAllIdle()
	h.tasks.Wait()
}
