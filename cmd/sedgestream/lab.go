//go:build !nolab

package main

import (
	"errors"
	"os"

	"sedgestream/internal/inspect"
	"sedgestream/internal/lab/day"
	"sedgestream/internal/lab/evensim"
	"sedgestream/internal/lab/fleet"
)

// labCommandLine holds the lab command. Deployments build with the tag nolab, which leaves it out to save memory.
type labCommandLine struct {
	Lab labCommands `cmd:"" help:"Run fleets on this machine, with faults between their processes."`
}

// labCommands are the subcommands of lab.
type labCommands struct {
	Demo   labDemo   `cmd:"" help:"Start a small fleet on this machine, break some of it, and show what happens; takes half a minute."`
	Fleet  labFleet  `cmd:"" help:"Run a scenario of faults among processes of this program on this machine."`
	Even   labEven   `cmd:"" help:"Compare how evenly this program and other balancing policies spread load over nodes in a scenario."`
	Scale  labScale  `cmd:"" help:"Measure the cost of the control plane at a part of the target size, with hollow routers."`
	Schema labSchema `cmd:"" help:"Print the JSON schema of scenario files."`
}

func (labCommands) Help() string {
	return "Everything stays on this machine: processes of this program and stand-ins for nodes, discovery and clients.\n\nExample:\n\n    sedgestream lab demo"
}

// scenarioFlags are the flags of commands that run a scenario among processes.
type scenarioFlags struct {
	Folder string `type:"path" placeholder:"FOLDER" help:"Folder for logs, the scenario as it was run and the report; if absent, a temporary one that is removed after a run without faults."`
	Report string `type:"path" placeholder:"FILE" help:"File that the report is written to."`
}

// runScenario runs a scenario among processes of this program.
func (s *scenarioFlags) runScenario(scenario *day.Scenario) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	runner := fleet.Runner{Program: program, Out: os.Stdout, Folder: s.Folder, Report: s.Report}
	return runner.Run(scenario)
}

// labDemo runs a small built-in scenario.
type labDemo struct{ scenarioFlags }

func (labDemo) Help() string {
	return "Three planners and six routers among two groups of nodes, with clients. One router is killed and comes back, a node starts cold, one router is cut off. Ends by itself, with a summary and a report to open.\n\nExample:\n\n    sedgestream lab demo"
}
func (l *labDemo) Run() error { return l.runScenario(fleet.DemoScenario()) }

// labFleet runs a scenario from a file.
type labFleet struct {
	scenarioFlags
	File string `arg:"" name:"day" help:"Scenario file; sedgestream lab schema prints its schema."`
}

func (labFleet) Help() string {
	return "Exit 0: every rule and promise was kept; 1: not, and the folder with all logs is named.\n\nExample:\n\n    sedgestream lab fleet docs/days/halves.json"
}
func (l *labFleet) Run() error {
	scenario, err := day.Read(l.File)
	if err != nil {
		printer := inspect.Printer{Out: os.Stdout, Err: os.Stderr, Env: os.Getenv}
		return printer.PrintFaults(err)
	}
	err = l.runScenario(scenario)
	if errors.Is(err, fleet.ErrViolations) {
		return inspect.ErrInvalid
	}
	return err
}

// labEven compares balancing policies in a scenario.
type labEven struct {
	scenarioFlags
	Sizes     bool   `help:"Simulate the scenario at many sizes and loads instead, from 10 to 3,000 routers; takes some minutes."`
	File      string `arg:"" name:"day" help:"Scenario file; sedgestream lab schema prints its schema."`
	Processes bool   `help:"Run the scenario among processes as well."`
}

func (labEven) Help() string {
	return "In simulated time each way to choose a node plays the same day, the module among them; with --processes routers of this program play it as well.\n\nExample:\n\n    sedgestream lab even docs/days/even.json --processes"
}
func (l *labEven) Run() error {
	scenario, err := day.Read(l.File)
	if err != nil {
		printer := inspect.Printer{Out: os.Stdout, Err: os.Stderr, Env: os.Getenv}
		return printer.PrintFaults(err)
	}
	if l.Sizes {
		evensim.CompareSizes(os.Stdout, scenario.Seed)
		return nil
	}
	evensim.ComparePolicies(os.Stdout, scenario)
	if !l.Processes {
		return nil
	}
	if err = l.runScenario(scenario); errors.Is(err, fleet.ErrViolations) {
		return inspect.ErrInvalid
	}
	return err
}

// labSchema prints the JSON schema of scenario files.
type labSchema struct{}

func (labSchema) Help() string {
	return "Example:\n\n    sedgestream lab schema > day.schema.json"
}
func (labSchema) Run() error {
	_, err := os.Stdout.Write(day.SchemaText)
	return err
}
