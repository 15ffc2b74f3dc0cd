package loadsum

import "slices"

// PlannerViews holds the summaries that planners sent to a router, of which it uses one per node.
type PlannerViews struct {
	period int64
	views  map[uint32][]plannerView
}

// plannerView is one planner's summary of a node.
type plannerView struct {
	planner    string
	measuredAt int64 // mean time of the data
	receivedAt int64
	routers    uint16
	inFlight   float32
}

// NewPlannerViews returns an empty set of views, for planners that send once a period.
func NewPlannerViews(period int64) *PlannerViews {
	return &PlannerViews{period: period, views: map[uint32][]plannerView{}}
}

// routerMajority is the ratio of reporting routers from which a summary is preferred to a newer one.
const routerMajority = 1.25

// Update takes in one planner's summary of a node. It returns the attempts in flight of all routers that the router
// should assume there, and the age of that figure in ns. If planners differ, the summary with clearly more routers is
// used; otherwise the newest.
func (v *PlannerViews) Update(now int64, planner string, summary *Summary) (inFlight float64, age int64) {
	views := slices.DeleteFunc(v.views[summary.NodeID], func(view plannerView) bool {
		return view.planner == planner || now-view.receivedAt > expiryPeriods*v.period
	})
	views = append(views, plannerView{planner, now - int64(summary.Age)*1e6, now, summary.Routers, summary.InFlight})
	if len(v.views) < MaxNodes || len(views) > 1 {
		v.views[summary.NodeID] = views
	}
	best := &views[0]
	for i := range views {
		view := &views[i]
		if view.receivedAt < now-freshPeriods*v.period {
			continue
		}
		more, less := float64(view.routers) > routerMajority*float64(best.routers),
			float64(best.routers) > routerMajority*float64(view.routers)
		if best.receivedAt < now-freshPeriods*v.period || more || !less && view.measuredAt > best.measuredAt {
			best = view
		}
	}
	return float64(best.inFlight), now - best.measuredAt
}

// Expire forgets nodes that no planner has reported for long.
func (v *PlannerViews) Expire(now int64) {
	for nodeID, views := range v.views {
		if !slices.ContainsFunc(views, func(view plannerView) bool { return now-view.receivedAt <= retentionPeriods*v.period }) {
			delete(v.views, nodeID)
		}
	}
}
