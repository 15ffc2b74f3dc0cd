package capacity

import "fmt"

// Row is a row of a role's table: a quantity at the target size, computed from one or more series.
type Row struct {
	Label       string
	Unit        string
	Quantity    string   // name of the quantity in the series
	Series      []string // the first counts in full, the others only with their growth beyond the size that was fixed in the first
	Limit       float64  // 0: no limit
	LimitSource string   // who sets the limit
}

// Role is a role's table.
type Role struct {
	Name, State string
	Rows        []Row
}

// Names of the series.
const (
	clientsSeries        = "router by idle clients"
	databasesSeries      = "router by databases"
	routersSeries        = "router by routers"
	plannersSeries       = "planner by routers"
	trafficSeries        = "router with traffic"
	plannerTrafficSeries = "planner with traffic"
)

// Names of the quantities.
const (
	CPU            = "cpu_ms"
	Memory         = "memory_mb"
	Descriptors    = "descriptors"
	ListBytes      = "list_bytes"
	ControlBytes   = "control_bytes"
	InBytes        = "in_bytes"
	OutBytes       = "out_bytes"
	InMessages     = "in_messages"
	OutMessages    = "out_messages"
	MemberBytes    = "member_bytes"
	MemberMessages = "member_messages"
)

// Roles are the tables of the page, a table for each role.
func (t *Target) Roles() []Role {
	budget, defaults, oneCore := "target", "router's usual limits", "one core"
	return []Role{
		{"Router", "List of databases with what is believed of each, client and database connections, requests in hand, leases of young nodes, views of loads.", []Row{
			{"memory, idle clients and the whole list", "MB", Memory, []string{clientsSeries, databasesSeries}, t.RouterMemory, defaults},
			{"CPU, idle clients", "ms/s", CPU, []string{clientsSeries}, t.RouterCPU, defaults},
			{"descriptors, idle clients", "", Descriptors, []string{clientsSeries}, t.RouterSockets, defaults},
			{"memory by the list, no clients, no control", "MB", Memory, []string{databasesSeries}, t.RouterMemory, defaults},
			{"memory with control, no clients", "MB", Memory, []string{routersSeries}, t.ControlMemory, budget},
			{"CPU of control, no clients", "ms/s", CPU, []string{routersSeries}, t.ControlCPU, budget},
			{"control bytes, both ways, no traffic", "B/s", ControlBytes, []string{routersSeries}, t.ControlBytes, budget},
			{"of these to planners", "B/s", OutBytes, []string{routersSeries}, 0, ""},
			{"of these from planners", "B/s", InBytes, []string{routersSeries}, 0, ""},
			{"messages to planners", "1/s", OutMessages, []string{routersSeries}, 0, ""},
			{"messages from planners", "1/s", InMessages, []string{routersSeries}, 0, ""},
			{"control bytes, both ways, with traffic and loads", "B/s", ControlBytes, []string{trafficSeries}, t.ControlBytes, budget},
			{"CPU with 2,000 statements a second", "ms/s", "", nil, t.RouterCPU, defaults},
			{"memory with 2,000 statements a second", "MB", "", nil, t.RouterMemory, defaults},
		}},
		{"Planner", "Board of nodes, the last report and beliefs of each router, pools of leases, votes of the failure quorum, sums of loads; nothing of it outlives the process.", []Row{
			{"CPU, no traffic", "ms/s", CPU, []string{plannersSeries}, t.RouterCPU, oneCore},
			{"memory, no traffic", "MB", Memory, []string{plannersSeries}, 0, ""},
			{"descriptors", "", Descriptors, []string{plannersSeries}, t.PlannerConnections, "tier's usual connections"},
			{"bytes in, no traffic", "B/s", InBytes, []string{plannersSeries}, 0, ""},
			{"bytes out, no traffic", "B/s", OutBytes, []string{plannersSeries}, 0, ""},
			{"messages in", "1/s", InMessages, []string{plannersSeries}, 0, ""},
			{"messages out", "1/s", OutMessages, []string{plannersSeries}, 0, ""},
			{"CPU, loads of the real routers", "ms/s", CPU, []string{plannerTrafficSeries}, t.RouterCPU, oneCore},
			{"CPU, loads of all routers", "ms/s", "", nil, t.RouterCPU, oneCore},
		}},
		{"Member", "A record of each instance (name, address, kind, zone, health) and the view. Every router and planner is one; CPU and memory are within theirs.", []Row{
			{"bytes, both ways", "B/s", MemberBytes, []string{routersSeries}, t.ControlBytes, budget},
			{"datagrams, both ways", "1/s", MemberMessages, []string{routersSeries}, 0, ""},
			{"bytes within 100 periods of a start", "B/s", "", nil, t.ControlBytes, budget},
			{"CPU and memory by themselves", "", "", nil, 0, ""},
		}},
		{"Discovery, as seen from routers", "The list and its version, at the platform; one watch of each router.", []Row{
			{"bytes of the whole list", "B", ListBytes, []string{databasesSeries}, 0, ""},
			{"what a change costs a router", "", "", nil, 0, ""},
			{"its own CPU and memory", "", "", nil, 0, ""},
		}},
		{"Keeper of configuration, and holder of fates of writes", "Planned; nobody holds either today. Configuration is a file beside each router, read again on SIGHUP; a write whose answer was lost is told to its client as unknown.", []Row{
			{"state, bytes, CPU, memory, time till a change is in force", "", "", nil, 0, ""},
		}},
	}
}

// Figure is a row with its value at the target size.
type Figure struct {
	Row
	Lines         []Line
	Axes          []string
	Value         float64
	Spread        float64 // sum of the spreads of its series
	Extrapolation float64 // the largest ratio of the target size to the largest measured one, over its series
	Known         bool    // whether all its series were measured
}

// UpperBound is the value, or the spread if that is larger: then the value is only known to be below it.
func (f *Figure) UpperBound() float64 { return max(f.Value, f.Spread) }

// Ratio is the upper bound divided by the limit; 0 without a limit.
func (f *Figure) Ratio() float64 {
	if !f.Known || f.Limit == 0 {
		return 0
	}
	return f.UpperBound() / f.Limit
}

// Extrapolate computes a row at the target size. The figure is not known if a series is missing.
func (t *Target) Extrapolate(m *Measurements, row Row) (figure Figure, err error) {
	figure.Row, figure.Known = row, len(row.Series) > 0
	axes := t.Axes()
	var first *Series
	for _, name := range row.Series {
		series := m.Find(name)
		if series == nil {
			figure.Known = false
			return figure, nil
		}
		line, ok := series.Fit(row.Quantity)
		if !ok {
			return figure, fmt.Errorf("%s: no figures of %s", name, row.Quantity)
		}
		x, ok := axes[series.Axis]
		if !ok {
			return figure, fmt.Errorf("%s: the target has no %s", name, series.Axis)
		}
		if first == nil {
			first = series
			figure.Value = line.Intercept + line.Slope*x
		} else {
			at, ok := first.Fixed[series.Axis]
			if !ok {
				return figure, fmt.Errorf("%s: nothing says at how many %s it was measured", first.Name, series.Axis)
			}
			figure.Value += line.Slope * (x - at)
		}
		figure.Lines, figure.Axes = append(figure.Lines, line), append(figure.Axes, series.Axis)
		figure.Spread += line.Spread
		figure.Extrapolation = max(figure.Extrapolation, x/line.MaxX)
	}
	return figure, nil
}
