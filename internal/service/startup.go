package service

import (
	"fmt"
	"net"
	"os"
	"time"

	"go.uber.org/zap"

	"sedgestream/internal/decide/members"
	"sedgestream/internal/descriptors"
	"sedgestream/internal/discovery"
	"sedgestream/internal/dispatch"
	"sedgestream/internal/forward"
	"sedgestream/internal/frontend"
	"sedgestream/internal/member"
	"sedgestream/internal/ring"
	"sedgestream/internal/tierfile"
	"sedgestream/internal/upstream"
)

// How descriptors and memory are divided.
const (
	// reservedDescriptors are for the program itself: three standard ones, two for the runtime's poller, the
	// listener, the datagram socket, a client that is accepted beyond the limit, a file that is read again, and
	// six calls to discovery. Clients and nodes share the others.
	reservedDescriptors  = 16
	clientsShare         = 0.5     // of the shared descriptors
	queryingClientsShare = 1.0 / 3 // of all descriptors, for clients that have sent a query: the limit of the platform documentation
	largeValuesShare     = 0.3     // of the heap
	requestsShare        = 0.15    // of the heap, for all requests in hand
)

// resourceLimits are the parts of the process's limits that clients and nodes may use.
type resourceLimits struct {
	clients, nodes  int   // connections
	queryingClients int   // connections of clients that have sent a query
	largeValues     int64 // bytes of large values, for clients and for nodes each
	requests        int64 // bytes of requests in hand
}

// start opens everything that the router needs, in the order in which the steps depend on each other, and
// starts serving. It waits neither for a list nor for peers. A stop signal ends it while it waits for an
// address.
func (s *Service) start(stops <-chan os.Signal) (err error) {
	if err = s.waitForConfig(stops); err != nil {
		return err
	}
	s.logWarnings(s.config)
	heap := limitRuntime(s.config)
	limits := divideResources(s.config, heap)
	if available := descriptors.Available(s.config.Descriptors); available < s.config.Descriptors {
		s.log.Warn("the system allows fewer descriptors than the configuration",
			zap.Int("configured", s.config.Descriptors), zap.Int("allowed", available))
	}
	s.openNodes(limits)
	if err = s.openTier(stops); err != nil {
		return err
	}
	if err = s.openList(); err != nil {
		return err
	}
	s.setPeerMessages(s.config.PlatformSettings.PeerMessages)
	if err = s.openFrontend(limits, stops); err != nil {
		return err
	}
	s.startTasks()
	return nil
}

// divideResources divides descriptors and memory among clients and nodes.
func divideResources(config *Config, heap int64) resourceLimits {
	available := descriptors.Available(config.Descriptors)
	shared := max(2, available-reservedDescriptors)
	clients := max(1, int(clientsShare*float64(shared)))
	return resourceLimits{
		clients:         clients,
		nodes:           shared - clients,
		queryingClients: int(queryingClientsShare * float64(available)),
		// Clients and nodes have separate budgets: a long query keeps its memory until its response, which needs
		// memory too, has arrived.
		largeValues: int64(largeValuesShare / 2 * float64(heap)),
		requests:    int64(requestsShare * float64(heap)),
	}
}

// openNodes creates the connections to nodes and the dispatcher, which need each other.
func (s *Service) openNodes(limits resourceLimits) {
	config, settings := s.config, s.config.PlatformSettings
	s.nodes = upstream.New(&settings.Settings, upstream.Limits{Connections: limits.nodes, Budget: ring.NewBudget(limits.largeValues)}, s.log)
	s.dispatcher = dispatch.New(settings, config.Seed, s.nodes, s.log)
	s.nodes.Dispatcher = s.dispatcher
}

// openTier joins the fleet and follows the planners as the tier's file says, if there is one.
func (s *Service) openTier(stops <-chan os.Signal) error {
	if s.options.TierPath == "" {
		return nil
	}
	tier, err := tierfile.Load(s.options.TierPath)
	if err != nil {
		return fmt.Errorf("the tier is wrong:\n%w", err)
	}
	if err = s.joinFleet(tier, stops); err != nil {
		return err
	}
	if s.options.Forward {
		s.followPlanners(tier)
	}
	return nil
}

// joinFleet makes the router a member of the fleet, if the tier configures a membership.
func (s *Service) joinFleet(tier *tierfile.Tier, stops <-chan os.Signal) error {
	if !tier.Membership {
		return nil
	}
	err := s.retryWhileTransient("member-listen", func() error { return s.openMember(tier) }, stops)
	if err != nil && err != errStopped {
		return fmt.Errorf("members: %w", err)
	}
	return err
}

// openMember opens the membership's sockets. A port that is free for datagrams may be in use for
// connections; if any port will do, another one is tried.
func (s *Service) openMember(tier *tierfile.Tier) (err error) {
	for range s.portAttempts() {
		s.member, err = member.New(s.memberOptions(tier), s.log, nil)
		if err != nil {
			return err
		}
		if err = s.member.Listen(); err == nil {
			return nil
		}
		s.member.Close()
		if !isAddressInUse(err) {
			return err
		}
	}
	return err
}

// memberOptions returns the options of the membership.
func (s *Service) memberOptions(tier *tierfile.Tier) member.Config {
	kind := members.Router
	if s.options.Forward {
		kind = members.Forwarder
	}
	return member.Config{Fleet: tier.Fleet, Name: s.config.Name, Zone: s.config.Zone, Kind: kind, Listen: s.options.MemberListen,
		Advertise: s.options.MemberAdvertise, Seeds: tier.Seeds, Period: tier.ProbePeriod, ForgetAfter: tier.ForgetAfter}
}

// portAttempts returns how many times a port is tried.
func (s *Service) portAttempts() int {
	if _, port, _ := net.SplitHostPort(s.options.MemberListen); port == "0" {
		return maxPortAttempts
	}
	return 1
}

// maxPortAttempts is the number of ports that are tried where the system chooses them.
const maxPortAttempts = 20

// followPlanners connects the router to the tier's planners.
func (s *Service) followPlanners(tier *tierfile.Tier) {
	options := forward.Config{Name: s.config.Name, Planners: tier.Planners, LeaseTerm: tier.LeaseTerm,
		ReportPeriod: tier.ReportPeriod, ShareLoads: tier.ShareLoads}
	if s.member != nil {
		options.Permissions, options.RouterCount = s.member.Permissions, s.member.ForwarderCount
		if tier.ShareLoads {
			options.SendLoadReport = s.member.SendLoadReport
		}
	}
	s.plannerLinks = forward.New(options, s.dispatcher, s.log)
	if s.member != nil && tier.ShareLoads {
		s.member.OnLoadReport(s.plannerLinks.HandleLoadReport)
	}
}

// openList gives the dispatcher the known list and the terms for it, and creates the client of discovery.
func (s *Service) openList() error {
	config := s.config
	s.listClient = discovery.New(config.Discovery, config.KnownList, &config.PlatformSettings.Settings, s.dispatcher, s.log)
	table, err := s.readTerms(config, nil)
	if err != nil {
		return fmt.Errorf("the terms are wrong:\n%w", err)
	}
	s.dispatcher.SetTerms(table)
	return nil
}

// openFrontend starts listening for clients.
func (s *Service) openFrontend(limits resourceLimits, stops <-chan os.Signal) error {
	listener, err := s.openListener(stops)
	if err != nil {
		return err
	}
	s.frontend = frontend.New(listener, s.dispatcher, s.nodes, frontend.Limits{Connections: limits.clients,
		QueryingConnections: limits.queryingClients, Budget: ring.NewBudget(limits.largeValues), RequestMemory: limits.requests}, s.log)
	dialer := &descriptors.Dialer{CloseIdle: s.closeIdleConnection}
	s.listClient.Dialer, s.nodes.Dialer = dialer, dialer
	return nil
}

// closeIdleConnection closes a connection that waits for nothing, to free a descriptor for discovery or a
// node: one of a client if possible, otherwise one to a node.
func (s *Service) closeIdleConnection() {
	if !s.frontend.FreeDescriptor() {
		s.nodes.CloseOldestIdle()
	}
}

// startTasks starts the background tasks.
func (s *Service) startTasks() {
	s.startTask("orders", s.carryOutActions)
	s.startTask("counts", s.logCounts)
	s.startTask("accept", s.frontend.Serve)
	if s.plannerLinks != nil {
		s.startTask("planners", s.plannerLinks.Serve)
	}
	if s.member != nil {
		s.startTask("member", s.member.Serve)
	}
}

// countsInterval is the time between two records of event counts.
const countsInterval = 10 * time.Second

// logCounts logs at most one record per interval: the numbers of rejected and failed requests by reason, and
// those of attempts by outcome.
func (s *Service) logCounts() {
	ticker := time.NewTicker(countsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			s.dispatcher.LogCounts()
			return
		case <-ticker.C:
			s.dispatcher.LogCounts()
		}
	}
}
