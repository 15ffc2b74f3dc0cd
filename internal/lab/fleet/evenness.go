package fleet

import (
	"bytes"
	"fmt"
	"time"

	"sedgestream/internal/lab/evenness"
)

// MeasureEvenness measures by the nodes' ledgers how evenly load was spread over the replicas in a span of time. capacityFactor is the
// ratio of a node's real capacity to its number of cores, and is taken as constant. A node that was down or cold counts only once it
// was warm.
func (h *Harness) MeasureEvenness(from, to time.Time, capacityFactor func(node int) float64) *evenness.Result {
	numberOf := map[string]int{}
	for _, proc := range h.processes {
		numberOf[proc.name] = proc.number
	}
	var nodes []evenness.Node
	for n, node := range h.Nodes {
		if node.Role == "source" {
			continue
		}
		measured := evenness.Node{Name: fmt.Sprint(n), Group: node.Group,
			Capacity: float64(max(1, node.Cores())) * capacityFactor(n), From: from.UnixNano()}
		if starts := node.Restarts(); len(starts) > 0 {
			measured.From = max(measured.From, starts[len(starts)-1].Add(warmUpTime).UnixNano())
		}
		for _, ran := range node.Executions() {
			attempt := evenness.Attempt{Arrived: ran.ReceivedAt.UnixNano(), Router: -1}
			if req := h.requests.byID[ran.ID]; req != nil {
				attempt.Router = numberOf[req.router]
			}
			if !ran.AnsweredAt.IsZero() {
				attempt.Ended = ran.AnsweredAt.UnixNano()
			}
			measured.Attempts = append(measured.Attempts, attempt)
		}
		nodes = append(nodes, measured)
	}
	return evenness.Measure(nodes, from.UnixNano(), to.UnixNano())
}

// drawLoads draws the requests in flight at each replica.
func (h *Harness) drawLoads(page *bytes.Buffer, x func(time.Time) float64, begin, end time.Time) {
	const height, steps = 26, 250
	step := end.Sub(begin) / steps
	if step <= 0 {
		return
	}
	row := 0
	var rows bytes.Buffer
	for n, node := range h.Nodes {
		if node.Role == "source" {
			continue
		}
		inFlight := make([]float64, steps)
		for _, ran := range node.Executions() {
			stop := ran.AnsweredAt
			if stop.IsZero() {
				stop = end
			}
			for k := max(0, int(ran.ReceivedAt.Sub(begin)/step)); k < steps; k++ {
				from, to := begin.Add(time.Duration(k)*step), begin.Add(time.Duration(k+1)*step)
				if stop.Before(from) {
					break
				}
				if ran.ReceivedAt.After(from) {
					from = ran.ReceivedAt
				}
				if stop.Before(to) {
					to = stop
				}
				inFlight[k] += max(0, float64(to.Sub(from))/float64(step))
			}
		}
		y := row * (height + 4)
		fmt.Fprintf(&rows, `<text x="0" y="%d">node %d of group %d</text>`, y+height-4, n, node.Group)
		scale := float64(height) / (3 * float64(max(1, node.Cores())))
		for k, load := range inFlight {
			colour := "#7cc48a"
			if load > float64(max(1, node.Cores())) {
				colour = "#e8a75d"
			}
			if top := min(float64(height), load*scale); top > 0.2 {
				fmt.Fprintf(&rows, `<rect x="%.1f" y="%.1f" width="4.2" height="%.1f" fill="%s"/>`, x(begin.Add(time.Duration(k)*step)),
					float64(y+height)-top, top, colour)
			}
		}
		row++
	}
	fmt.Fprintf(page, `<p>Requests in flight at each replica, up to three times its cores; more than its cores in orange.</p><svg width="1110" height="%d">%s</svg>`,
		row*(height+4)+4, rows.String())
}
