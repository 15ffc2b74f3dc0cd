package service

import (
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"

	"sedgestream/internal/planner"
	"sedgestream/internal/recovery"
	"sedgestream/internal/tierfile"
)

// Durations of a planner, as multiples of the term of its leases.
const (
	voteLeaseTerms        = 1  // how long a forwarder's report on a node counts
	removedNodeLeaseTerms = 60 // after which a node that has left is forgotten
)

// RunPlanner runs a planner of a tier until a stop signal arrives. The leases that it has granted expire
// by themselves.
func RunPlanner(log *zap.Logger, path, name, advertise string, stops <-chan os.Signal) error {
	tier, err := tierfile.Load(path)
	if err != nil {
		return logExit(log, Starting, path, fmt.Errorf("the tier is wrong:\n%w", err))
	}
	listen, known := tier.Planners[name]
	if !known {
		return logExit(log, Starting, path, fmt.Errorf("%s names no planner %q", path, name))
	}
	delete(tier.Planners, name)
	p, err := planner.New(planner.Config{Name: name, Listen: listen, Peers: tier.Planners, LeaseTerm: tier.LeaseTerm,
		HeartbeatPeriod: tier.ReportPeriod, MaxConns: tier.MaxConns, VoteValidity: voteLeaseTerms * tier.LeaseTerm,
		RetainRemoved: time.Duration(removedNodeLeaseTerms) * tier.LeaseTerm, Fleet: tier.Fleet, Advertise: advertise,
		Seeds: tier.Seeds, ProbePeriod: tier.ProbePeriod, ForgetAfter: tier.ForgetAfter}, log)
	if err != nil {
		return logExit(log, Starting, path, err)
	}
	log.Info("planning", zap.String("name", name), zap.String("listen", p.Address()), zap.Duration("term", tier.LeaseTerm))
	recovery.Go(log, "stop", func() {
		sig := <-stops
		log.Info("leaving", zap.Stringer("signal", sig))
		p.Close()
	}, nil)
	p.Serve()
	return nil
}
