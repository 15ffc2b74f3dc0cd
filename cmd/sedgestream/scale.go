//go:build !nolab

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"sedgestream/internal/lab/bench"
	"sedgestream/internal/lab/scale"
)

// labScale measures the cost of the control plane at a part of the target size.
type labScale struct {
	outputFlags
	Size      string        `default:"1/8" placeholder:"PART" help:"Part of the target number of routers: 1/8, 1/4, 1/2, 1 (${default})."`
	Hollow    int           `default:"-1" help:"Number of hollow routers, instead of that of the size."`
	Real      int           `default:"6" help:"Number of real routers, each in a process of its own (${default})."`
	Planners  int           `default:"3" help:"Number of planners (${default})."`
	Databases int           `default:"0" help:"Number of databases in the list; that of the target if absent."`
	Traffic   bool          `help:"Run clients against the real routers, and have planners aggregate the load."`
	Span      time.Duration `default:"10s" help:"Duration of the measurement (${default})."`
	Memory    float64       `default:"12000" help:"Memory limit of all processes together, in MB; the run ends beyond it (${default})."`
}

// maxProcesses is the highest number of processes that a run may start.
const maxProcesses = 64

func (labScale) Help() string {
	return "Real routers and planners are measured among hollow routers, which share this process: they carry no requests, and speak to planners, members and discovery as routers do.\n\nExample:\n\n    sedgestream lab scale --size 1/8 --json"
}

func (l *labScale) Run() error {
	plan, err := l.plan()
	if err != nil {
		return err
	}
	run := &bench.TB{}
	defer run.Close()
	defer endOnSignal(run)()
	plan.Folder = run.TempDir()
	result, err := scale.Run(run, plan)
	if err != nil {
		return err
	}
	if l.JSON {
		text := json.NewEncoder(os.Stdout)
		text.SetIndent("", " ")
		return text.Encode(result)
	}
	printResult(result)
	return nil
}

// plan fills in the numbers of routers and databases that the flags leave to the size.
func (l *labScale) plan() (scale.Config, error) {
	hollow, databases, err := scale.FromTarget(l.Size, l.Real)
	if err != nil {
		return scale.Config{}, err
	}
	if l.Hollow >= 0 {
		hollow = l.Hollow
	}
	if l.Databases > 0 {
		databases = l.Databases
	}
	program, err := os.Executable()
	return scale.Config{Program: program, Hollow: hollow, Real: l.Real, Planners: l.Planners, Databases: databases,
		Traffic: l.Traffic, Duration: l.Span,
		Limits: scale.Limits{Memory: l.Memory, Processes: maxProcesses}, Progress: func(line string) { fmt.Fprintln(os.Stderr, line) }}, err
}

// endOnSignal ends all processes of the run on SIGINT or SIGTERM, until stop is called.
func endOnSignal(run *bench.TB) (stop func()) {
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		if _, received := <-stops; received {
			run.Close()
			os.Exit(1)
		}
	}()
	return func() {
		signal.Stop(stops)
		close(stops)
	}
}

// printResult prints a table with one line for each process.
func printResult(result *scale.Result) {
	fmt.Printf("%d hollow and %d real routers, %d databases, %d planners; one view after %.1f s; %.0f MB and %d processes at most\n\n",
		result.Hollow, result.Real, result.Databases, len(result.Planners), result.ConvergedAfter, result.MaxMemory, result.MaxProcesses)
	fmt.Println("process  CPU ms/s  memory MB  descriptors  planners in: messages/s, bytes/s  out: messages/s, bytes/s  members: messages/s, bytes/s")
	for _, sample := range append(append(result.Planners, result.Routers...), result.Host) {
		member := sample.MemberIn.Bytes + sample.MemberOut.Bytes + sample.ExchangeBytes
		fmt.Printf("%-7s  %8.1f  %9.1f  %11d  %.1f, %.0f  %.1f, %.0f  %.1f, %.0f\n", sample.Name, sample.CPU, sample.Memory,
			sample.Descriptors, sample.In.Messages, sample.In.Bytes,
			sample.Out.Messages, sample.Out.Bytes, sample.MemberIn.Messages+sample.MemberOut.Messages, member)
	}
}
