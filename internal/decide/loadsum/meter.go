package loadsum

import (
	"cmp"
	"slices"
)

// SelfReport is what a node itself last reported of its load and replication position, to any router. It is encoded
// as an array, so the order of its fields is the wire format. The zero value means none.
type SelfReport struct {
	//lint:ignore U1000 msgpack reads the tag of this field by reflection
	_msgpack    struct{} `msgpack:",as_array"`
	Position    int64    // by the node's own clock
	Primary     bool
	Utilization float32 `json:"Busy"` // of its cores, as a fraction
}

// NodeLoad is a router's report of its own load on a node. It is encoded as an array, so the order of its fields is
// the wire format.
type NodeLoad struct {
	//lint:ignore U1000 msgpack reads the tag of this field by reflection
	_msgpack   struct{} `msgpack:",as_array"`
	NodeID     uint32
	InFlight   float32     // mean number of attempts in flight since the last report
	Attempts   uint32      // started since the last report
	Failed     uint32      // ended without an answer from the node, or with an error, since the last report
	Group      int64       // of the node
	Weight     float32     // of the node, by the list
	SelfReport *SelfReport // nil if the node has reported nothing since the last report
}

// Meter measures one router's own attempts by node. Nodes are identified by small indexes.
type Meter struct {
	nodes    []nodeMeter
	lastRead int64
}

// nodeMeter is the measurement of one node since the last reading.
type nodeMeter struct {
	inFlight      int   // attempts in flight now
	inFlightNanos int64 // attempts in flight, integrated over ns
	updatedAt     int64 // up to when inFlightNanos is complete
	attempts      uint32
	failed        uint32
	selfReport    SelfReport
	hasSelfReport bool
}

// NewMeter returns a meter that starts now.
func NewMeter(now int64) *Meter { return &Meter{lastRead: now} }

// advance integrates a node's attempts up to now and returns its measurement.
func (m *Meter) advance(now int64, index int) *nodeMeter {
	for len(m.nodes) <= index {
		m.nodes = append(m.nodes, nodeMeter{updatedAt: m.lastRead})
	}
	node := &m.nodes[index]
	node.inFlightNanos += int64(node.inFlight) * (now - node.updatedAt)
	node.updatedAt = now
	return node
}

// AttemptStarted records the start of an attempt at a node.
func (m *Meter) AttemptStarted(now int64, index int) {
	node := m.advance(now, index)
	node.inFlight++
	node.attempts++
}

// AttemptEnded records the end of an attempt, and whether the node failed it.
func (m *Meter) AttemptEnded(now int64, index int, failed bool) {
	node := m.advance(now, index)
	node.inFlight = max(0, node.inFlight-1)
	if failed {
		node.failed++
	}
}

// SelfReported records a node's own report. Of several since the last reading, the one with the highest position is
// kept.
func (m *Meter) SelfReported(now int64, index int, report SelfReport) {
	if node := m.advance(now, index); !node.hasSelfReport || report.Position > node.selfReport.Position {
		node.selfReport, node.hasSelfReport = report, true
	}
}

// Forget drops the measurement of a node whose index may be reused.
func (m *Meter) Forget(index int) {
	if index < len(m.nodes) {
		m.nodes[index] = nodeMeter{updatedAt: m.lastRead}
	}
}

// Read returns the load since the last reading, and starts a new one. identify fills in which node an index stands
// for; nodes that get no ID (0) are left out. If there are too many nodes, those with the most attempts of this
// router are returned.
func (m *Meter) Read(now int64, identify func(index int, load *NodeLoad)) (loads []NodeLoad) {
	span := float64(max(1, now-m.lastRead))
	m.lastRead = now
	for index := range m.nodes {
		node := m.advance(now, index)
		load, inFlightNanos, hasSelfReport :=
			NodeLoad{Attempts: node.attempts, Failed: node.failed}, node.inFlightNanos, node.hasSelfReport
		node.inFlightNanos, node.attempts, node.failed, node.hasSelfReport = 0, 0, 0, false
		if inFlightNanos == 0 && load.Attempts == 0 && !hasSelfReport {
			continue
		}
		load.InFlight = float32(float64(inFlightNanos) / span)
		if identify(index, &load); load.NodeID == 0 {
			continue
		}
		if hasSelfReport {
			selfReport := node.selfReport
			load.SelfReport = &selfReport
		}
		loads = append(loads, load)
	}
	if len(loads) > MaxNodeLoads {
		slices.SortFunc(loads, func(a, b NodeLoad) int { return -cmp.Compare(a.InFlight, b.InFlight) })
		loads = loads[:MaxNodeLoads]
	}
	return loads
}
