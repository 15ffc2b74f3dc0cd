// Command memberscost measures the membership: how soon a death is known and how often live instances are called failed, compared with
// plain SWIM and with heartbeats from all to all; its traffic by the size of the fleet; how soon two halves agree after a partition; and
// the cost of real processes without requests. It prints the tables of docs/measured/members.md.
package main

import (
	"flag"
	"fmt"
	"log"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"sedgestream/internal/lab/bench"
	"sedgestream/internal/lab/day"
	"sedgestream/internal/lab/fleet"
	"sedgestream/internal/lab/membersim"
	"sedgestream/internal/standin"
)

var (
	program      = flag.String("program", "bin/sedgestream", "the program")
	only         = flag.String("only", "", "one part: death, size, split, idle")
	seeds        = flag.Int("seeds", 5, "seeds over which each figure in simulated time is measured")
	maxInstances = flag.Int("most", 3000, "largest number of instances in simulated time")
	maxProcesses = flag.Int("idle", 300, "largest number of processes")
	minProcesses = flag.Int("least", 0, "smallest number of processes")
)

func main() {
	flag.Parse()
	for _, part := range []struct {
		name string
		run  func()
	}{{"death", measureDetection}, {"size", measureSizes}, {"split", measureSplit}, {"idle", measureProcesses}} {
		if *only == "" || *only == part.name {
			part.run()
			fmt.Println()
		}
	}
}

// quantile sorts the values and returns one of their quantiles; -1 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return -1
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

// measureDetection measures detection while one instance dies and datagrams are lost, or a tenth of the instances is starved.
func measureDetection() {
	const instances, periods = 60, 600
	fmt.Printf("%d instances, %d periods, %d seeds; one dies in the middle. Wrong: live, healthy and reachable ones that are called failed, an hour of 1 s periods, by all together.\n\n", instances, periods, *seeds)
	fmt.Println("| datagrams lost | detection | known after: median | 99 % | most | found wrongly | believed wrongly |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, variant := range []struct {
		name    string
		loss    float64
		starved bool
	}{{"0", 0, false}, {"5 %", 0.05, false}, {"20 %", 0.2, false}, {"40 %", 0.4, false}, {"0, a tenth starved", 0, true}} {
		for _, plainSWIM := range []bool{false, true} {
			var detectionTimes []float64
			ownFailures, allFailures := 0, 0
			for seed := range uint64(*seeds) {
				scenario := &day.Scenario{Seed: seed, Instances: instances, Period: time.Second, Duration: periods * time.Second,
					Faults: []day.Fault{{At: periods / 2 * time.Second, Kind: day.Kill, Targets: []int{instances - 1}}}}
				if variant.loss > 0 {
					scenario.Faults = append(scenario.Faults, day.Fault{At: 30 * time.Second, Duration: (periods - 30) * time.Second,
						Kind: day.Loss, Amount: variant.loss})
				}
				simulation := membersim.New(scenario)
				if simulation.Timing.PlainSWIM = plainSWIM; variant.starved {
					simulation.Starved = map[int]bool{}
					for k := range instances / 10 {
						simulation.Starved[10*k+5] = true
					}
				}
				result := simulation.Run(5)
				detectionTimes = append(detectionTimes, result.DetectionTimes...)
				ownFailures, allFailures = ownFailures+result.OwnFalseFailures, allFailures+result.FalseFailures
			}
			hours := float64(*seeds) * periods / 3600
			fmt.Printf("| %s | %s | %.1f | %.1f | %.1f | %.1f | %.0f |\n", variant.name,
				map[bool]string{false: "as built", true: "plain SWIM"}[plainSWIM],
				quantile(detectionTimes, 0.5), quantile(detectionTimes, 0.99), quantile(detectionTimes, 1), float64(ownFailures)/hours,
				float64(allFailures)/hours)
		}
		if variant.starved {
			continue
		}
		var detectionTimes []float64
		falseFailures := 0
		for seed := range uint64(min(*seeds, 2)) {
			times, failures, _ := membersim.RunHeartbeats(instances, periods, variant.loss, seed)
			detectionTimes, falseFailures = append(detectionTimes, times...), falseFailures+failures
		}
		hours := float64(min(*seeds, 2)) * periods / 3600
		fmt.Printf("| %s | heartbeats of all to all | %.1f | %.1f | %.1f | - | %.0f |\n", variant.name,
			quantile(detectionTimes, 0.5), quantile(detectionTimes, 0.99), quantile(detectionTimes, 1), float64(falseFailures)/hours)
	}
}

// measureSizes measures fleets of different sizes without faults, and with one death.
func measureSizes() {
	fmt.Println("| instances | bytes an instance and period, calm | datagrams | known after: median | most | start: all agree after | heartbeats: bytes | memory of the simulation | took |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, instances := range []int{10, 30, 100, 300, 1000, 3000} {
		if instances > *maxInstances {
			break
		}
		begin := time.Now()
		converged := membersim.New(&day.Scenario{Seed: 2, Instances: instances, Period: time.Second}).Run(400).ConvergedAfter
		const calm, span = 100, 200
		scenario := &day.Scenario{Seed: 1, Instances: instances, Period: time.Second, Duration: (span + 60) * time.Second,
			Faults: []day.Fault{{At: span * time.Second, Kind: day.Kill, Targets: []int{instances - 1}}}}
		simulation := membersim.New(scenario)
		var bytesBefore, datagramsBefore, bytesAfter, datagramsAfter int64
		var mem runtime.MemStats
		simulation.After(calm*time.Second, func() { bytesBefore, datagramsBefore = simulation.Bytes() })
		simulation.After((span-1)*time.Second, func() { bytesAfter, datagramsAfter = simulation.Bytes(); runtime.ReadMemStats(&mem) })
		result := simulation.Run(5)
		instancePeriods := float64(span-1-calm) * float64(instances)
		fmt.Printf("| %d | %.0f | %.2f | %.1f | %.1f | %.1f | %d | %d MB | %v |\n", instances,
			float64(bytesAfter-bytesBefore)/instancePeriods, float64(datagramsAfter-datagramsBefore)/instancePeriods,
			quantile(result.DetectionTimes, 0.5), quantile(result.DetectionTimes, 1), converged,
			20*instances*(instances-1), mem.HeapAlloc>>20, time.Since(begin).Round(100*time.Millisecond))
	}
}

// measureSplit partitions fleets into two halves for different times, and measures how soon these agree again.
func measureSplit() {
	fmt.Println("| instances | apart for periods | all agree after: median | most | exchanges an instance since | views an instance, in all |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	for _, instances := range []int{30, 300} {
		for _, duration := range []int{10, 60, 600} {
			var convergedAfter []float64
			exchanges, views := 0.0, 0.0
			for seed := range uint64(*seeds) {
				var half []int
				for k := range instances / 2 {
					half = append(half, 2*k)
				}
				scenario := &day.Scenario{Seed: seed, Instances: instances, Period: time.Second, Duration: time.Duration(40+duration) * time.Second,
					Faults: []day.Fault{{At: 40 * time.Second, Duration: time.Duration(duration) * time.Second, Kind: day.Partition, Targets: half}}}
				simulation := membersim.New(scenario)
				before := 0
				simulation.After(scenario.Duration, func() { before = simulation.Result.Exchanges })
				result := simulation.Run(400)
				convergedAfter = append(convergedAfter, result.ConvergedAfter)
				exchanges, views = exchanges+float64(result.Exchanges-before)/float64(instances), views+result.Views
			}
			runs := float64(*seeds)
			fmt.Printf("| %d | %d | %.1f | %.1f | %.2f | %.1f |\n", instances, duration, quantile(convergedAfter, 0.5),
				quantile(convergedAfter, 1), exchanges/runs, views/runs)
		}
	}
}

// measureProcesses measures real processes without requests, with a probe period of one second.
func measureProcesses() {
	fmt.Println("| processes | datagrams an instance and second | bytes | CPU of a forwarder, ms a second: median | most | CPU of a planner | memory of a forwarder, MB | all agree after, s |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, count := range []int{10, 30, 100, 300} {
		if count > *maxProcesses || count < *minProcesses {
			continue
		}
		b := &bench.TB{}
		nodes := []*standin.Node{standin.NewNode(b, "source"), standin.NewNode(b, "copy")}
		path, err := filepath.Abs(*program)
		if err != nil {
			log.Fatal(err)
		}
		begin := time.Now()
		harness := fleet.New(b, fleet.Config{Program: path, Planners: 3, Routers: count - 3, Nodes: nodes,
			Settings: standin.DefaultSettings, ProbePeriod: time.Second,
			LeaseTerm: 2 * time.Second, Folder: b.TempDir(), Seed: 1})
		for !harness.Converged() && time.Since(begin) < 3*time.Minute {
			time.Sleep(500 * time.Millisecond)
		}
		converged := time.Since(begin)
		time.Sleep(5*time.Second + time.Duration(count)*200*time.Millisecond) // until no more messages about the start are sent
		cost := harness.MeasureCost(10 * time.Second)
		fmt.Printf("| %d | %.1f | %.0f | %.1f | %.1f | %.1f | %.1f | %.1f |\n", count, cost.Datagrams, cost.Bytes,
			quantile(cost.Forwarders, 0.5), quantile(cost.Forwarders, 1), quantile(cost.Planners, 0.5), cost.Memory, converged.Seconds())
		b.Close()
	}
}
