package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// The model of a rule that knows the work of a request only afterwards: within each window the routers send a cold node
// a number of requests that does not depend on their work. The work is that of the simulated fleet, in requests of mean
// work: exponential with mean 1, cut at 5.
const (
	workStep       = 0.01 // of the distributions below, in requests of mean work
	maxSingleWork  = 5.0  // of one request
	wantedGreen    = 0.99
	arrivingLoad   = 0.7 * 1.5                                // of a node's capacity, with the burst
	windowsPerKind = 16 * int(coldWarmUpTime/coldWindow)      // of 16 seeds with one cold node, without overlap
	windowsOfTest  = 50 * windowsPerKind                      // of TestColdBudgetOfAllRouters for one budget: 35 kinds, 50 cold nodes
	heavyWork      = heavyFactor / (1 + 0.05*(heavyFactor-1)) // mean of a heavy read, where one request in twenty is one
)

// singleWork returns the distribution of the work of one request, in steps.
func singleWork() []float64 {
	distribution := make([]float64, int(maxSingleWork/workStep)+1)
	for i := range distribution {
		distribution[i] = math.Exp(-float64(i)*workStep) - math.Exp(-float64(i+1)*workStep)
	}
	distribution[len(distribution)-1] = math.Exp(-maxSingleWork)
	return distribution
}

// convolve returns the distribution of the sum of two independent values.
func convolve(a, b []float64) []float64 {
	sum := make([]float64, len(a)+len(b)-1)
	for i, p := range a {
		for k, q := range b {
			sum[i+k] += p * q
		}
	}
	return sum
}

// chancesAbove returns, for each number of requests up to the given one, the chance that their work passes the bound.
func chancesAbove(bound float64, requests int) []float64 {
	chances, sum := []float64{0}, []float64{1}
	for n := 1; n <= requests; n++ {
		sum = convolve(sum, singleWork())
		above := 0.0
		for i, p := range sum {
			if (float64(i)+float64(n)/2)*workStep > bound { // each value was rounded down by half a step on average
				above += p
			}
		}
		chances = append(chances, above)
	}
	return chances
}

// chanceOfWindow returns the chance that the work of a window passes the bound if routers that don't know of each other
// send the given mean number of requests in all: each sends the whole part of its share, and one more at random.
func chanceOfWindow(chances []float64, mean float64, routers int) float64 {
	share := mean / float64(routers)
	whole := math.Floor(share)
	fraction := share - whole
	chance, binomial := 0.0, math.Pow(1-fraction, float64(routers)) // of no further request
	for further := 0; further <= routers; further++ {
		chance += binomial * chances[min(int(whole)*routers+further, len(chances)-1)]
		binomial *= float64(routers-further) / float64(further+1) * fraction / (1 - fraction)
	}
	return chance
}

// mostRequests returns the largest mean number of requests in a window with which all windows stay below the bound with
// the wanted chance. A single router sends a whole number.
func mostRequests(chances []float64, routers, windows int) (most float64) {
	step := 0.01
	if routers == 1 {
		step = 1
	}
	for mean := step; mean < 20; mean += step {
		if math.Pow(1-chanceOfWindow(chances, mean, routers), float64(windows)) < wantedGreen {
			return most
		}
		most = mean
	}
	return most
}

// servedByKnownWork returns the share of the arriving requests that are sent to a cold node with the given bound by the
// best of some rules that know each request's work: it takes what fits in the window and is not above a limit.
func servedByKnownWork(bound, rate float64) (best float64) {
	const seconds = 2000.0
	for limit := 0.1; limit <= maxSingleWork; limit += 0.1 {
		random := rand.New(rand.NewPCG(1, 57))
		var at, works []float64
		first, sum, arrived := 0, 0.0, 0
		for now := random.ExpFloat64() / rate; now < seconds; now += random.ExpFloat64() / rate {
			work := min(maxSingleWork, random.ExpFloat64())
			arrived++
			for ; first < len(at) && at[first] <= now-1; first++ {
				sum -= works[first]
			}
			if work <= limit && sum+work <= bound {
				at, works, sum = append(at, now), append(works, work), sum+work
			}
		}
		best = max(best, float64(len(at))/float64(arrived))
	}
	return best
}

// The number of requests that a rule without knowledge of their work may send within each bound. The page
// docs/incidents/cold-nodes-and-single-requests.md has the table.
func TestSingleRequestsLimitColdBudgets(t *testing.T) {
	for _, test := range []struct {
		allowed      float64
		rootFactor   float64 // 2: N + 2 root N + 2, the bound of the tests; 3: N + 3 root N + 3
		wantRequests int     // of a single router, within the windows of a kind of scenario
	}{{2, 2, 1}, {5, 2, 3}, {10, 2, 6}, {2, 3, 1}, {5, 3, 4}, {10, 3, 9}} {
		bound := test.allowed + test.rootFactor*math.Sqrt(test.allowed) + test.rootFactor
		chances := chancesAbove(bound, 20)
		rate := arrivingLoad * test.allowed / (coldMultiple * coldCapacityAtStart)
		line := fmt.Sprintf("N %v, bound %.2f, %.1f arrive:", test.allowed, bound, rate)
		for _, routers := range []int{1, 5, 30} {
			kind, all := mostRequests(chances, routers, windowsPerKind), mostRequests(chances, routers, windowsOfTest)
			line += fmt.Sprintf(" %d routers %.2f (served %.3f), all kinds %.2f (%.3f);", routers, kind, kind/rate, all, all/rate)
			if routers == 1 && int(kind) != test.wantRequests {
				t.Errorf("N %v, bound %.2f: a router may send %v requests, want %d", test.allowed, bound, kind, test.wantRequests)
			}
		}
		part := coldWorkShare * test.allowed
		t.Logf("%s known work: served %.3f; 0.6 N from 30 routers: chance %.1e a window, green with %.3f; a heavy read alone: chance %.2f",
			line, servedByKnownWork(bound, rate), chanceOfWindow(chances, part, 30),
			math.Pow(1-chanceOfWindow(chances, part, 30), float64(windowsPerKind)), math.Exp(-bound/heavyWork))
	}
}
