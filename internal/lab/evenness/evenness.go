// Package evenness measures how evenly load is spread over nodes, from ledgers of which requests a node received and when it answered
// them. It serves simulations and tests with real processes alike.
package evenness

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Attempt is an attempt of a request at a node. Times are ns of one clock.
type Attempt struct {
	Arrived, Ended int64 // Ended is 0 if it was never answered
	Router         int   // number of the router that sent it
}

// Node is a node with its ledger.
type Node struct {
	Name     string
	Group    int       // nodes of a group serve the same requests
	Capacity float64   // requests that it really serves at a time
	From, To int64     // when it was able to serve; To 0: until the end
	Attempts []Attempt // by Arrived
}

// Windows are the lengths of time over which load is averaged.
var Windows = []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, 2 * time.Second}

// WindowStats are statistics over all windows of one length. Load is the number of requests in flight divided by capacity. Windows in
// which a group has hardly any load are left out.
type WindowStats struct {
	Window     time.Duration
	Peak       float64 // load of the most loaded node divided by the mean load, averaged over windows
	CV         float64 // coefficient of variation of load over a group's nodes, averaged over windows
	ExpectedCV float64 // CV if routers chose nodes at random, which is the noise of small numbers of requests
	Jain       float64 // Jain's fairness index, (sum x)^2 / (n sum x^2): 1 if all loads are equal
}

// Herd is a span of time in which a node has more requests than it can serve at a time and more than twice its fair share of its
// group's requests, while another node of the group has less than half of its own fair share.
type Herd struct {
	Node        string
	From, To    int64
	MaxInFlight float64
	Routers     int // the most routers that had sent the requests in flight
}

// Result is the outcome of a measurement.
type Result struct {
	WindowStats []WindowStats
	Herds       []Herd
	HerdShare   float64 // share of each group's time in which any of its nodes had a herd
	LongestHerd time.Duration
	IdleShare   float64 // share of all nodes' time in which a node was idle while requests waited at another of its group
	Wait        time.Duration
	Requests    int
	NodeMeans   []NodeMean
	LongestGap  time.Duration // longest time without a request for a node that was able to serve
	// Of the times from a request's arrival at a node to its answer.
	Median, P99, Max time.Duration
}

// NodeMean is the load of one node over the whole time.
type NodeMean struct {
	Name     string
	Load     float64 // mean number of requests in flight divided by capacity
	Requests int
}

// minMeanLoad is the mean load of a group below which a window is left out, as it says nothing about evenness.
const minMeanLoad = 0.05

// Measure evaluates the time between from and to.
func Measure(nodes []Node, from, to int64) *Result {
	result := &Result{}
	groups := map[int][]int{}
	for i := range nodes {
		if nodes[i].To == 0 {
			nodes[i].To = to
		}
		groups[nodes[i].Group] = append(groups[nodes[i].Group], i)
	}
	groupNumbers := make([]int, 0, len(groups))
	for group := range groups {
		groupNumbers = append(groupNumbers, group)
	}
	slices.Sort(groupNumbers)
	for _, window := range Windows {
		stats := WindowStats{Window: window}
		windowCount := 0.0
		for _, group := range groupNumbers {
			members := groups[group]
			inFlight := make([][]float64, len(members))
			for k, member := range members {
				inFlight[k] = nodes[member].inFlightPerWindow(from, to, int64(window))
			}
			for index := range inFlight[0] {
				begin := from + int64(index)*int64(window)
				var loads []float64
				loadSum, requests := 0.0, 0.0
				for k, member := range members {
					if node := &nodes[member]; begin >= node.From && begin+int64(window) <= node.To {
						loads = append(loads, inFlight[k][index]/node.Capacity)
						loadSum += inFlight[k][index] / node.Capacity
						requests += inFlight[k][index]
					}
				}
				if len(loads) < 2 || loadSum/float64(len(loads)) < minMeanLoad {
					continue
				}
				mean, squares := loadSum/float64(len(loads)), 0.0
				for _, load := range loads {
					squares += load * load
				}
				variance := max(0, squares/float64(len(loads))-mean*mean)
				stats.Peak += slices.Max(loads) / mean
				stats.CV += math.Sqrt(variance) / mean
				stats.Jain += loadSum * loadSum / (float64(len(loads)) * squares)
				stats.ExpectedCV += 1 / math.Sqrt(max(requests/float64(len(loads)), 1e-9))
				windowCount++
			}
		}
		if windowCount > 0 {
			stats.Peak, stats.CV, stats.Jain, stats.ExpectedCV =
				stats.Peak/windowCount, stats.CV/windowCount, stats.Jain/windowCount, stats.ExpectedCV/windowCount
		}
		result.WindowStats = append(result.WindowStats, stats)
	}
	for _, group := range groupNumbers {
		result.findHerds(nodes, groups[group], from, to)
	}
	total := 0.0
	for i := range nodes {
		total += float64(min(nodes[i].To, to) - max(nodes[i].From, from))
	}
	if total > 0 {
		result.IdleShare /= total
		result.HerdShare /= float64(to-from) * float64(len(groups)) // of each group's time
	}
	result.addRequestTimes(nodes, from, to)
	slices.SortFunc(result.Herds, func(a, b Herd) int { return cmp.Compare(a.From, b.From) })
	for _, herd := range result.Herds {
		result.LongestHerd = max(result.LongestHerd, time.Duration(herd.To-herd.From))
	}
	return result
}

// inFlightPerWindow is the mean number of requests in flight in each window.
func (n *Node) inFlightPerWindow(from, to, window int64) []float64 {
	inFlight := make([]float64, max(0, int((to-from)/window)))
	for _, attempt := range n.Attempts {
		end := attempt.Ended
		if end == 0 || end > to {
			end = to
		}
		for begin := max(attempt.Arrived, from); begin < end; {
			k := (begin - from) / window
			until := min(end, from+(k+1)*window)
			if int(k) >= len(inFlight) {
				break
			}
			inFlight[k] += float64(until-begin) / float64(window)
			begin = until
		}
	}
	return inFlight
}

// change is the arrival or the end of an attempt.
type change struct {
	at     int64
	node   int
	delta  int // of the requests in flight: +1 or -1
	router int
}

// minHerdDuration is the shortest herd that counts; shorter ones are the noise of single requests.
const minHerdDuration = int64(20 * time.Millisecond)

// findHerds steps through the arrivals and ends at a group's nodes, and adds up herds and idle time.
func (r *Result) findHerds(nodes []Node, members []int, from, to int64) {
	var changes []change
	capacity := 0.0
	for _, n := range members {
		capacity += nodes[n].Capacity
		for _, attempt := range nodes[n].Attempts {
			if attempt.Arrived >= to || attempt.Ended != 0 && attempt.Ended <= from {
				continue
			}
			changes = append(changes, change{max(attempt.Arrived, from), n, 1, attempt.Router})
			if attempt.Ended != 0 && attempt.Ended < to {
				changes = append(changes, change{attempt.Ended, n, -1, attempt.Router})
			}
		}
	}
	slices.SortStableFunc(changes, func(a, b change) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.delta, b.delta)) })
	inFlight, routers := map[int]int{}, map[int]map[int]int{}
	openHerds := map[int]*Herd{}
	for _, n := range members {
		routers[n] = map[int]int{}
	}
	at, total := from, 0
	var herdTime int64
	advance := func(until int64) {
		if until <= at {
			return
		}
		span, waiting, idle := until-at, 0, 0
		underused := false // whether a node has less than half of its fair share
		anyHerd := false
		for _, n := range members {
			node := &nodes[n]
			if at < node.From || at >= node.To {
				continue
			}
			if excess := inFlight[n] - int(node.Capacity); excess > 0 {
				waiting += excess
			}
			if inFlight[n] == 0 {
				idle++
			}
			underused = underused || float64(inFlight[n]) < 0.5*float64(total)*node.Capacity/capacity
		}
		if waiting > 0 {
			r.IdleShare += float64(span) * float64(min(idle, waiting))
		}
		for _, n := range members {
			node := &nodes[n]
			fairShare := float64(total) * node.Capacity / capacity
			inHerd := underused && float64(inFlight[n]) > 2*fairShare && float64(inFlight[n]) > node.Capacity && at >= node.From && at < node.To
			herd := openHerds[n]
			switch {
			case inHerd && herd == nil:
				openHerds[n] = &Herd{Node: node.Name, From: at, MaxInFlight: float64(inFlight[n]), Routers: len(routers[n])}
			case inHerd:
				herd.MaxInFlight, herd.Routers = max(herd.MaxInFlight, float64(inFlight[n])), max(herd.Routers, len(routers[n]))
			case herd != nil:
				if herd.To = at; herd.To-herd.From >= minHerdDuration {
					r.Herds = append(r.Herds, *herd)
				}
				delete(openHerds, n)
			}
			anyHerd = anyHerd || inHerd
		}
		if anyHerd {
			herdTime += span
		}
		at = until
	}
	for _, event := range changes {
		advance(event.at)
		inFlight[event.node] += event.delta
		total += event.delta
		if senders := routers[event.node]; event.delta > 0 {
			senders[event.router]++
		} else if senders[event.router]--; senders[event.router] <= 0 {
			delete(senders, event.router)
		}
	}
	advance(to)
	for _, n := range members {
		if herd := openHerds[n]; herd != nil {
			if herd.To = to; herd.To-herd.From >= minHerdDuration {
				r.Herds = append(r.Herds, *herd)
			}
		}
	}
	r.HerdShare += float64(herdTime)
}

// addRequestTimes adds the times of requests, the load of each node and the longest gap between arrivals.
func (r *Result) addRequestTimes(nodes []Node, from, to int64) {
	var durations []int64
	for i := range nodes {
		mean := NodeMean{Name: nodes[i].Name}
		for _, inFlight := range nodes[i].inFlightPerWindow(from, to, to-from) {
			mean.Load = inFlight / nodes[i].Capacity
		}
		for _, attempt := range nodes[i].Attempts {
			if attempt.Arrived >= from && attempt.Arrived < to {
				mean.Requests++
			}
		}
		r.NodeMeans = append(r.NodeMeans, mean)
		last := max(from, nodes[i].From)
		for _, attempt := range nodes[i].Attempts {
			if attempt.Arrived > last && attempt.Arrived < to {
				r.LongestGap = max(r.LongestGap, time.Duration(attempt.Arrived-last))
				last = attempt.Arrived
			}
		}
		r.LongestGap = max(r.LongestGap, time.Duration(min(to, nodes[i].To)-last))
		for _, attempt := range nodes[i].Attempts {
			if attempt.Arrived >= from && attempt.Arrived < to && attempt.Ended != 0 {
				durations = append(durations, attempt.Ended-attempt.Arrived)
			}
		}
	}
	if r.Requests = len(durations); r.Requests == 0 {
		return
	}
	slices.Sort(durations)
	r.Median, r.P99, r.Max = time.Duration(durations[len(durations)/2]),
		time.Duration(durations[len(durations)*99/100]), time.Duration(durations[len(durations)-1])
}

// String is the result in a few lines.
func (r *Result) String() string {
	text := fmt.Sprintf("%d jobs; at nodes %v in the median, %v of 99 %%, %v at most\n", r.Requests,
		r.Median.Round(100*time.Microsecond), r.P99.Round(100*time.Microsecond), r.Max.Round(100*time.Microsecond))
	for _, stats := range r.WindowStats {
		text += fmt.Sprintf("windows of %-6v peak over mean %.2f, coefficient of variation %.2f (chance alone %.2f), Jain's index %.3f\n", stats.Window, stats.Peak, stats.CV, stats.ExpectedCV, stats.Jain)
	}
	text += fmt.Sprintf("%d herds, the longest %v, %.2f %% of the time; nodes idle while requests waited elsewhere %.2f %% of their time; no node without a request for over %v", len(r.Herds),
		r.LongestHerd.Round(time.Millisecond), 100*r.HerdShare, 100*r.IdleShare, r.LongestGap.Round(time.Millisecond))
	if maxNodes := 60; len(r.NodeMeans) <= maxNodes {
		text += "\nload against capacity by node:"
		for _, node := range r.NodeMeans {
			text += fmt.Sprintf(" %s %.2f", node.Name, node.Load)
		}
	}
	return text
}
