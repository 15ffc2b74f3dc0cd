// Command capacitycost measures the cost of control traffic and idle clients by size, stores the measurements in
// docs/measured/capacity.json, and updates the tables of docs/CAPACITY.md from them.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"sedgestream/internal/lab/bench"
	"sedgestream/internal/lab/capacity"
	"sedgestream/internal/lab/scale"
)

var (
	program   = flag.String("program", "bin/sedgestream", "the program")
	figures   = flag.String("figures", "docs/measured/capacity.json", "file of the measurements")
	page      = flag.String("page", "docs/CAPACITY.md", "the page")
	only      = flag.String("only", "", "one part: clients, lists, routers, traffic, compare, page")
	sizes     = flag.String("sizes", "1/8,1/4,1/2", "sizes of fleets, as fractions of the target's routers")
	otherLoad = flag.String("beside", "nothing", "other load of the machine meanwhile, which is noted in the file")
)

// Numbers of clients and of databases at which single routers are measured.
var (
	clientCounts   = []int{0, 1576, 3152, 4728, 6304}
	databaseCounts = []int{2, 74, 148, 295, 590}
)

const (
	smallListSize    = 2
	defaultReal      = 6
	compareInstances = 30 // with three planners
	compareReal      = compareInstances - 3
	routerFile       = "internal/lab/scale/router.go"
	scaleFile        = "internal/lab/scale/scale.go"
	trafficSizes     = "1/8"
)

func main() {
	flag.Parse()
	measurements, err := capacity.Read(*figures)
	if os.IsNotExist(err) {
		measurements, err = &capacity.Measurements{}, nil
	}
	check(err)
	for _, part := range []struct {
		name string
		run  func(*capacity.Measurements)
	}{{"clients", measureClients}, {"lists", measureLists}, {"routers", measureRouters}, {"traffic", measureTraffic},
		{"compare", measureComparison}} {
		if *only == "" || *only == part.name {
			part.run(measurements)
			check(measurements.Write(*figures)) // keep the measurements if a later part fails
		}
	}
	check(capacity.UpdatePage(*page, *figures))
}

// check ends the program on an error.
func check(err error) {
	if err != nil {
		log.Fatal(err)
	}
}

// newSeries is a series without points, with the command that measures it.
func newSeries(name, role, axis, command, file string, fixed map[string]float64) capacity.Series {
	return capacity.Series{Name: name, Role: role, Axis: axis, Fixed: fixed, Command: command, SourceFile: file,
		Date: time.Now().Format(time.DateOnly), OtherLoad: *otherLoad}
}

// partCommand is the command that measures a part.
func partCommand(name string) string { return "go run ./internal/lab/capacitycost -only " + name }

// programPath is the absolute path of the program.
func programPath() string {
	path, err := filepath.Abs(*program)
	check(err)
	return path
}

// printLine prints a line of progress.
func printLine(line string) { fmt.Fprintln(os.Stderr, line) }

// measureClients measures a router by the number of its idle clients.
func measureClients(measurements *capacity.Measurements) {
	b := &bench.TB{}
	defer b.Close()
	series := newSeries("router by idle clients", "router", "clients", partCommand("clients"), routerFile,
		map[string]float64{"databases": smallListSize})
	series.Points = pointsOf(scale.MeasureIdleClients(b, programPath(), clientCounts, printLine))
	measurements.Replace(series)
}

// measureLists measures a router by the size of its list.
func measureLists(measurements *capacity.Measurements) {
	b := &bench.TB{}
	defer b.Close()
	series := newSeries("router by databases", "router", "databases", partCommand("lists"), routerFile, map[string]float64{"clients": 0})
	series.Points = pointsOf(scale.MeasureListSizes(b, programPath(), databaseCounts, printLine))
	measurements.Replace(series)
}

// pointsOf collects consecutive windows of the same size in one point.
func pointsOf(windows []scale.Window) (points []capacity.Point) {
	for _, window := range windows {
		if len(points) == 0 || points[len(points)-1].X != window.X {
			points = append(points, capacity.Point{X: window.X, Values: map[string][]float64{}})
		}
		values := points[len(points)-1].Values
		addValue(values, capacity.CPU, window.CPU)
		addValue(values, capacity.Memory, window.Memory)
		addValue(values, capacity.Descriptors, float64(window.Descriptors))
		if window.ListBytes > 0 {
			addValue(values, capacity.ListBytes, float64(window.ListBytes))
		}
	}
	return points
}

// addValue adds a value of a quantity, rounded to two decimals.
func addValue(values map[string][]float64, quantity string, value float64) {
	const perUnit = 100
	values[quantity] = append(values[quantity], float64(int64(value*perUnit+0.5))/perUnit)
}

// measureRouters measures real routers and planners among hollow routers, with a new process for each size.
func measureRouters(measurements *capacity.Measurements) {
	fixed := map[string]float64{"databases": float64(capacity.Goal.Databases), "clients": 0}
	byRouter := newSeries("router by routers", "router", "routers", partCommand("routers"), scaleFile, fixed)
	byPlanner := newSeries("planner by routers", "planner", "routers", partCommand("routers"), scaleFile, fixed)
	for _, size := range strings.Split(*sizes, ",") {
		result := runScale("--size", size)
		routerPoint, plannerPoint := splitByRole(result)
		byRouter.Points, byPlanner.Points = append(byRouter.Points, routerPoint), append(byPlanner.Points, plannerPoint)
		measurements.Replace(byRouter)
		measurements.Replace(byPlanner)
		check(measurements.Write(*figures))
	}
}

// measureTraffic measures the cost of load reports and their sums, at one size.
func measureTraffic(measurements *capacity.Measurements) {
	fixed := map[string]float64{"databases": float64(capacity.Goal.Databases)}
	routerPoint, plannerPoint := splitByRole(runScale("--size", trafficSizes, "--traffic"))
	byRouter := newSeries("router with traffic", "router", "routers", partCommand("traffic"), scaleFile, fixed)
	byPlanner := newSeries("planner with traffic", "planner", "routers", partCommand("traffic"), scaleFile, fixed)
	byRouter.Points, byPlanner.Points = []capacity.Point{routerPoint}, []capacity.Point{plannerPoint}
	measurements.Replace(byRouter)
	measurements.Replace(byPlanner)
}

// measureComparison measures the same size with real routers only, and with mostly hollow ones.
func measureComparison(measurements *capacity.Measurements) {
	fixed := map[string]float64{"databases": float64(capacity.Goal.Databases)}
	for _, variant := range []struct {
		real             int
		routers, planner string
	}{{compareReal, capacity.RealRouters, capacity.RealPlanners}, {defaultReal, capacity.HollowRouters, capacity.HollowPlanners}} {
		routerPoint, plannerPoint := splitByRole(runScale("--hollow", fmt.Sprint(compareReal-variant.real), "--real", fmt.Sprint(variant.real)))
		byRouter := newSeries(variant.routers, "router", "routers", partCommand("compare"), scaleFile, fixed)
		byPlanner := newSeries(variant.planner, "planner", "routers", partCommand("compare"), scaleFile, fixed)
		byRouter.Points, byPlanner.Points = []capacity.Point{routerPoint}, []capacity.Point{plannerPoint}
		measurements.Replace(byRouter)
		measurements.Replace(byPlanner)
	}
}

// runScale runs "sedgestream lab scale" and returns its result.
func runScale(args ...string) *scale.Result {
	args = append([]string{"lab", "scale", "--json"}, args...)
	printLine("sedgestream " + strings.Join(args, " "))
	var out bytes.Buffer
	cmd := exec.Command(programPath(), args...)
	cmd.Stdout, cmd.Stderr = &out, os.Stderr
	check(cmd.Run())
	result := &scale.Result{}
	check(json.Unmarshal(out.Bytes(), result))
	printLine(fmt.Sprintf("one view after %.1f s, %.0f MB and %d processes at most, host %.0f ms/s", result.ConvergedAfter,
		result.MaxMemory, result.MaxProcesses, result.Host.CPU))
	return result
}

// splitByRole returns one point for the routers and one for the planners.
func splitByRole(result *scale.Result) (routers, planners capacity.Point) {
	x := float64(result.Hollow + result.Real)
	return pointOf(x, result.Routers), pointOf(x, result.Planners)
}

// pointOf collects the samples of several processes in one point.
func pointOf(x float64, samples []scale.Sample) capacity.Point {
	point := capacity.Point{X: x, Values: map[string][]float64{}}
	for i := range samples {
		sample := &samples[i]
		addValue(point.Values, capacity.CPU, sample.CPU)
		addValue(point.Values, capacity.Memory, sample.Memory)
		addValue(point.Values, capacity.Descriptors, float64(sample.Descriptors))
		addValue(point.Values, capacity.ControlBytes, sample.ControlBytes())
		addValue(point.Values, capacity.InBytes, sample.In.Bytes)
		addValue(point.Values, capacity.OutBytes, sample.Out.Bytes)
		addValue(point.Values, capacity.InMessages, sample.In.Messages)
		addValue(point.Values, capacity.OutMessages, sample.Out.Messages)
		addValue(point.Values, capacity.MemberBytes, sample.MemberIn.Bytes+sample.MemberOut.Bytes+sample.ExchangeBytes)
		addValue(point.Values, capacity.MemberMessages, sample.MemberIn.Messages+sample.MemberOut.Messages)
	}
	return point
}
