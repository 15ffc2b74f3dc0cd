// Package service runs the router or a planner from its start to its exit.
package service

import (
	"errors"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sedgestream/internal/decide/terms"
	"sedgestream/internal/discovery"
	"sedgestream/internal/dispatch"
	"sedgestream/internal/forward"
	"sedgestream/internal/frontend"
	"sedgestream/internal/member"
	"sedgestream/internal/peer"
	"sedgestream/internal/recovery"
	"sedgestream/internal/termsfile"
	"sedgestream/internal/upstream"
)

// Phase is the state of the program between start and exit.
type Phase string

// The phases, in order.
const (
	Starting  Phase = "starting"  // reads the configuration and opens the addresses
	Serving   Phase = "serving"   // accepts all connections and requests
	Reloading Phase = "reloading" // reads the configuration again and returns to the previous phase
	Leaving   Phase = "leaving"   // a stop signal has arrived; still accepts, since clients may still be directed here
	Finishing Phase = "finishing" // accepts nothing new; completes the requests in progress
	Gone      Phase = "gone"
)

// Service is one router process.
type Service struct {
	log           *zap.Logger
	config        *Config
	options       Options
	phase         Phase
	reloads       <-chan os.Signal
	dispatcher    *dispatch.Dispatcher
	nodes         *upstream.Pool
	frontend      *frontend.Server
	listClient    *discovery.Client
	plannerLinks  *forward.Links             // connections to planners; nil unless it is a forwarder
	member        *member.Instance           // in the fleet's membership; nil unless the tier has members
	peers         atomic.Pointer[peer.Peers] // nil while the address for peer messages is closed
	stop          chan struct{}
	readsEnd      chan struct{} // closed acceptGrace after the stop signal: no file is read on from then on
	tasks         sync.WaitGroup
	pending       pendingReload
	startDeadline time.Time // end of retries during the start

	peersMu   sync.Mutex
	peerRetry chan struct{} // closed to stop the attempts to open the address for peers; nil while there are none
}

// Options are the files that operators own, and the addresses of the membership. "" stands for none.
type Options struct {
	TermsPath string // the terms: per-route limits on attempts, retries and hedged attempts
	TierPath  string // the tier: planners, and members of the fleet
	// Forward makes the router follow the tier's planners; otherwise it is only a member.
	Forward bool
	// MemberListen is where the membership listens; MemberAdvertise is the address given to others instead, if any.
	MemberListen, MemberAdvertise string
}

// New returns a service that has not started. Each signal on reloads makes it read its configuration and
// its file of terms again.
func New(log *zap.Logger, options Options, reloads <-chan os.Signal) *Service {
	return &Service{log: log, options: options, reloads: reloads, stop: make(chan struct{}), readsEnd: make(chan struct{})}
}

// enterPhase sets and logs the phase.
func (s *Service) enterPhase(p Phase, fields ...zap.Field) {
	s.phase = p
	s.log.Info(string(p), fields...)
}

// waitInPhase waits for a value on end. Meanwhile it handles reloads.
func waitInPhase[T any](s *Service, end <-chan T) T {
	for {
		select {
		case value := <-end:
			return value
		case <-s.reloads:
			s.runRecovered(s.reload)
		case <-s.pending.retryAt:
			s.runRecovered(s.retryReload)
		}
	}
}

// readTerms reads the file of terms and validates it for the requests of a configuration. It returns nil
// if there is no file. The groups are those that the list has named since the start; they add to the ones
// known then.
func (s *Service) readTerms(config *Config, groups map[int64]bool) (*terms.RouteTable, error) {
	if s.options.TermsPath == "" {
		return nil, nil
	}
	start, constraints := time.Now(), config.TermsConstraints()
	for name := range groups {
		if constraints.Groups != nil {
			constraints.Groups[name] = true
		}
	}
	table, err := readFile(s, "reading the terms", func() (*terms.RouteTable, error) {
		return termsfile.Load(s.options.TermsPath, constraints)
	})
	if err != nil {
		return nil, err
	}
	s.log.Info("terms", zap.String("file", s.options.TermsPath), zap.Int("routes", table.Len()), zap.Duration("took", time.Since(start)))
	return table, nil
}

// Run serves until a stop signal arrives and all accepted requests have been answered. A panic during the
// start ends it, and is logged like any other failed start.
func (s *Service) Run(stops <-chan os.Signal) error {
	s.enterPhase(Starting)
	s.startDeadline = time.Now().Add(startTimeout)
	err := errPanicked
	recovery.Run(s.log, "start", func() { err = s.start(stops) }, nil)
	switch {
	case errors.Is(err, errStopped):
		s.enterPhase(Gone)
		return nil
	case err != nil:
		return logExit(s.log, s.phase, errorLocation(err, os.Getenv), err)
	}
	s.enterPhase(Serving, zap.String("name", s.config.Name), zap.String("listen", s.address()),
		zap.Int("nodes", len(s.config.KnownList.Nodes)))
	stop := waitInPhase(s, s.timestampStop(stops))
	s.enterPhase(Leaving, zap.Stringer("signal", stop.signal), zap.Int("clients", s.frontend.ClientCount()),
		zap.Int("in hand", s.dispatcher.InFlight()))
	s.scheduleFinalAnswers(stop.at)
	recovery.Run(s.log, "leave", func() { s.leave(stop.at) }, nil)
	s.enterPhase(Finishing, zap.Int("clients", s.frontend.ClientCount()), zap.Int("in hand", s.dispatcher.InFlight()))
	recovery.Run(s.log, "finish", s.finish, nil)
	s.enterPhase(Gone)
	return nil
}

// errPanicked is the result of a start that panicked; the log record before has the panic and its stack.
var errPanicked = errors.New("a panic while starting")

// address returns where clients connect: the listener's address, or the configured one if the system does
// not report it.
func (s *Service) address() string {
	if at := s.frontend.Address(); at != "" {
		return at
	}
	return s.config.Listen
}

// startTask runs one of the service's tasks in the background. If the task panics, it is restarted after a
// pause until the service stops.
func (s *Service) startTask(name string, run func()) {
	s.tasks.Add(1)
	recovery.Go(s.log, name, func() {
		defer s.tasks.Done()
		for !recovery.Run(s.log, name, run, nil) {
			select {
			case <-s.stop:
				return
			case <-time.After(taskRestartDelay):
			}
		}
	}, nil)
}

// taskRestartDelay is the pause before a task that panicked is restarted.
const taskRestartDelay = 10 * time.Millisecond

// startCall runs a function once in the background. If it panics, failed is called.
func (s *Service) startCall(name string, run, failed func()) {
	s.tasks.Add(1)
	recovery.Go(s.log, name, func() {
		defer s.tasks.Done()
		recovery.Run(s.log, name, run, failed)
	}, nil)
}

// runRecovered runs a step of the current phase. If it panics, the phase continues.
func (s *Service) runRecovered(step func()) {
	phase := s.phase
	recovery.Run(s.log, "reload", step, func() { s.enterPhase(phase) })
}

// carryOutActions executes the dispatcher's actions that belong to no request.
func (s *Service) carryOutActions() {
	for {
		select {
		case <-s.dispatcher.Pending:
		case <-s.stop:
			return
		}
		actions := s.dispatcher.TakeActions()
		if actions.WatchList {
			s.startCall("watch", s.listClient.Watch, s.dispatcher.ListFailed)
		}
		if actions.FetchList {
			s.startCall("lookup", s.listClient.FetchList, s.dispatcher.ListFailed)
		}
		for _, node := range actions.CloseIdle {
			s.nodes.CloseIdle(node)
		}
		for _, node := range actions.Probes {
			s.nodes.Probe(node)
		}
		for _, message := range actions.Messages {
			if peers := s.peers.Load(); peers != nil {
				peers.Send(message.To, message.Payload)
			}
		}
	}
}

// stopSignal is a signal to stop and the time when it arrived.
type stopSignal struct {
	signal os.Signal
	at     time.Time
}

// timestampStop records when the stop signal arrives. The main goroutine may be applying a configuration
// just then, but the time limits of a restart run from the signal, and reading a file ends by them.
func (s *Service) timestampStop(stops <-chan os.Signal) <-chan stopSignal {
	received := make(chan stopSignal, 1)
	recovery.Go(s.log, "stop", func() {
		signal := <-stops
		recovery.AfterFunc(s.log, "end of reads", acceptGrace, func() { close(s.readsEnd) })
		received <- stopSignal{signal, time.Now()}
	}, nil)
	return received
}
