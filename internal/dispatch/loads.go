package dispatch

import (
	"hash/crc32"

	"sedgestream/balance"
	"sedgestream/internal/decide/loadsum"
)

// EnableLoadMeter makes the dispatcher measure the load of its own attempts, for the planners that add up the
// load of all routers. It must be called before the first list.
func (d *Dispatcher) EnableLoadMeter() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loadMeter, d.nodeByHash = loadsum.NewMeter(d.Now()), map[uint32]int{}
}

// TakeLoads returns the load since the last call, by node; nil without a load meter.
func (d *Dispatcher) TakeLoads() []loadsum.NodeLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.loadMeter == nil {
		return nil
	}
	return d.loadMeter.Read(d.Now(), func(node int, load *loadsum.NodeLoad) {
		if node >= len(d.nodeNames) || d.nodeNames[node] == "" {
			return
		}
		if hash := crc32.ChecksumIEEE([]byte(d.nodeNames[node])); d.nodeByHash[hash] == node {
			listed := d.listedNodes[d.nodeNames[node]]
			load.NodeID, load.Group, load.Weight = hash, listed.Group, float32(listed.Weight)
		}
	})
}

// ApplyLoadSummaries passes on the load of all routers together. For each summary, estimate returns the number
// of attempts in flight at the node and the age of that figure in nanoseconds.
func (d *Dispatcher) ApplyLoadSummaries(summaries []loadsum.Summary, estimate func(s *loadsum.Summary) (inFlight float64, age int64)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.loadMeter == nil {
		return
	}
	now := d.Now()
	for i := range summaries {
		summary := &summaries[i]
		node, known := d.nodeByHash[summary.NodeID]
		if !known || node < 0 {
			continue
		}
		inFlight, age := estimate(summary)
		d.router.SetTotalLoad(now, node, inFlight, float64(summary.LogStrength), age)
		if reported := summary.SelfReport; reported != nil {
			report := balance.Report{Present: true, Position: reported.Position, Role: balance.Replica, InFlight: -1,
				Utilization: float64(reported.Utilization)}
			if reported.Primary {
				report.Role = balance.Primary
			}
			d.router.ReportFromRouter(now, node, report)
		}
	}
}

// recordReport adds what a node has reported about itself to the load that is shared with planners. A report
// with a position in the future is left out, as no router accepts one.
func (d *Dispatcher) recordReport(node int, report balance.Report) {
	if report.Present && report.Position > 0 && report.Position <= d.Now() && report.Role != balance.Unknown {
		d.loadMeter.SelfReported(d.Now(), node, loadsum.SelfReport{
			Position:    report.Position,
			Primary:     report.Role == balance.Primary,
			Utilization: float32(max(0, report.Utilization)),
		})
	}
}

// indexHash makes a node known by the hash of its name. A hash that two nodes share refers to neither of them.
func (d *Dispatcher) indexHash(name string, node int) {
	if d.loadMeter == nil {
		return
	}
	hash := crc32.ChecksumIEEE([]byte(name))
	if have, known := d.nodeByHash[hash]; known && have != node {
		node = -1
	}
	d.nodeByHash[hash] = node
}

// forgetLoad drops the load of a node that has left, before its number is assigned to another.
func (d *Dispatcher) forgetLoad(node int, name string) {
	if d.loadMeter == nil {
		return
	}
	d.loadMeter.Forget(node)
	if hash := crc32.ChecksumIEEE([]byte(name)); d.nodeByHash[hash] == node {
		delete(d.nodeByHash, hash)
	}
}
