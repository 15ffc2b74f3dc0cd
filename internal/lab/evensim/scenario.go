package evensim

import (
	"math"
	"slices"
	"time"

	"sedgestream/internal/lab/day"
)

// FromScenario is the configuration that corresponds to a scenario: the faults of nodes, and the times without planners. Faults of
// router processes are ignored, as they can't be simulated here.
func FromScenario(scenario *day.Scenario, policy Policy) Config {
	fleet := &scenario.Fleet
	config := Config{
		Seed:             scenario.Seed,
		Routers:          fleet.Routers,
		ReplicasPerGroup: fleet.NodesPerGroup - 1,
		Groups:           fleet.Groups,
		Cores:            max(1, fleet.Cores),
		MeanWork:         fleet.WorkTime,
		TrafficSpread:    fleet.TrafficSpread,
		Duration:         max(scenario.Duration, 4*time.Second),
		WarmUp:           2 * time.Second,
		Period:           scenario.Period / 2,
		MeanDelay:        500 * time.Microsecond,
		Policy:           policy,
	}
	requestRate := float64(fleet.Routers*fleet.ClientsPerRouter) * math.Exp(fleet.TrafficSpread*fleet.TrafficSpread/2) /
		(fleet.ClientPause + fleet.WorkTime).Seconds()
	config.Load = requestRate * fleet.WorkTime.Seconds() / float64(config.Groups*config.ReplicasPerGroup*config.Cores)
	active := func(kind day.Kind, replica int, at time.Duration) *day.Fault {
		node := replica + 1 + replica/config.ReplicasPerGroup // nodes are counted with their groups' primaries
		for i := range scenario.Faults {
			fault := &scenario.Faults[i]
			if fault.Kind == kind && at >= fault.At+config.WarmUp*min(1, fault.At) &&
				(fault.Duration == 0 || at < fault.End()+config.WarmUp) && slices.Contains(fault.Targets, node) {
				return fault
			}
		}
		return nil
	}
	config.SpeedFactor = func(replica int, at time.Duration) float64 {
		if fault := active(day.ChangeCapacity, replica, at); fault != nil {
			return fault.Amount
		}
		return 1
	}
	config.FalseLoad = func(replica int, at time.Duration) bool { return active(day.FalseLoad, replica, at) != nil }
	config.Failing = func(replica int, at time.Duration) bool { return active(day.ErrorAnswers, replica, at) != nil }
	config.NoPlanner = func(_ int, at time.Duration) bool {
		if !fleet.ReportLoads {
			return true
		}
		downPlanners := map[int]bool{}
		for i := range scenario.Faults {
			if fault := &scenario.Faults[i]; (fault.Kind == day.Kill || fault.Kind == day.Pause) && at >= fault.At+config.WarmUp &&
				(fault.Duration == 0 || at < fault.End()+config.WarmUp) {
				for _, instance := range fault.Targets {
					if instance < fleet.Planners {
						downPlanners[instance] = true
					}
				}
			}
		}
		return len(downPlanners) == fleet.Planners
	}
	return config
}
