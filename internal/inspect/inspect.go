// Package inspect answers operators' questions: what is wrong with a file, how its terms apply to a
// request, which requests a change of terms affects, and what the planners and members of a fleet believe.
// It prints tables for people or JSON for programs.
package inspect

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"sedgestream/balance"
	"sedgestream/internal/configfile"
	"sedgestream/internal/decide/terms"
	"sedgestream/internal/service"
	"sedgestream/internal/termsfile"
)

// ErrInvalid reports that the check found something wrong, which has already been printed.
var ErrInvalid = errors.New("the check found errors")

// Printer writes answers as tables or JSON to Out, and faults and warnings to Err.
type Printer struct {
	Out, Err io.Writer
	JSON     bool
	Env      func(string) string // reads environment variables
}

func (p *Printer) printJSON(value any) error {
	encoder := json.NewEncoder(p.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// PrintFaults prints the faults in err and returns ErrInvalid. Any other error is returned unchanged.
func (p *Printer) PrintFaults(err error) error {
	var faults configfile.Faults
	if !errors.As(err, &faults) {
		return err
	}
	for _, fault := range faults {
		fmt.Fprintln(p.Err, fault)
	}
	return ErrInvalid
}

// CheckConfig checks a configuration file as a router reads it at its start.
func (p *Printer) CheckConfig(path string) error {
	found, err := service.Check(path, p.Env)
	if err != nil {
		return err
	}
	if p.JSON {
		answer := map[string]any{"faults": nonNil(found.Faults), "warnings": nonNil(found.Warnings), "unread": nonNil(found.Unread)}
		if err := p.printJSON(answer); err != nil {
			return err
		}
	}
	for _, fault := range append(append(configfile.Faults{}, found.Warnings...), found.Unread...) {
		fmt.Fprintf(p.Err, "%s (warning)\n", fault)
	}
	if len(found.Faults) > 0 {
		return p.PrintFaults(found.Faults)
	}
	if !p.JSON {
		fmt.Fprintf(p.Out, "%s: a router would start by it; %d values are not known, %d members are read by nothing\n",
			path, len(found.Warnings), len(found.Unread))
	}
	return nil
}

// nonNil returns a copy that is encoded as an array even if it is empty.
func nonNil(faults configfile.Faults) configfile.Faults {
	return append(configfile.Faults{}, faults...)
}

// termsEnvironment returns what the terms are validated against, from a configuration file.
func (p *Printer) termsEnvironment(configPath string) (*terms.Environment, error) {
	config, err := service.ReadConfig(func(key string) string {
		if key == "ROUTER_CONFIG" {
			return configPath
		}
		if value := p.Env(key); value != "" || key == "ROUTER_NAME" {
			return value
		}
		return "127.0.0.1:1" // any valid address will do: nothing listens here
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w (sedgestream check lists all faults)", configPath, err)
	}
	return config.TermsConstraints(), nil
}

// CheckTerms validates a file of terms.
func (p *Printer) CheckTerms(path, configPath string) error {
	environment, err := p.termsEnvironment(configPath)
	if err != nil {
		return err
	}
	table, err := termsfile.Load(path, environment)
	if p.JSON {
		var faults configfile.Faults
		errors.As(err, &faults)
		if err := p.printJSON(map[string]any{"faults": nonNil(faults)}); err != nil {
			return err
		}
	}
	if err != nil {
		return p.PrintFaults(err)
	}
	if !p.JSON {
		fmt.Fprintf(p.Out, "%s: %d routes keep to the contract and the rules\n", path, table.Len())
	}
	return nil
}

// RequestQuery describes a request whose treatment is to be explained.
type RequestQuery struct {
	Class                string
	Group                int64
	Key                  string
	Session, ClientRetry bool
	Time                 time.Time
}

// Explain prints which route of a file of terms a request takes, and what follows from it.
func (p *Printer) Explain(path, configPath string, query RequestQuery) error {
	environment, err := p.termsEnvironment(configPath)
	if err != nil {
		return err
	}
	table, err := termsfile.Load(path, environment)
	if err != nil {
		return p.PrintFaults(err)
	}
	request := terms.Request{Class: -1, Group: query.Group, Key: query.Key, Session: query.Session, ClientRetry: query.ClientRetry}
	for i, name := range environment.Classes {
		if name == query.Class {
			request.Class, request.Write = i, environment.Settings.Classes[i].Consistency == balance.Write
		}
	}
	if request.Class < 0 {
		return fmt.Errorf("there is no tariff %q; there are %s", query.Class, strings.Join(environment.Classes, ", "))
	}
	explanation := table.Explain(&request, query.Time.UnixNano())
	if p.JSON {
		return p.printJSON(explanation)
	}
	route := "no route; only the contract applies"
	if explanation.Route != "" {
		route = fmt.Sprintf("route %q", explanation.Route)
	}
	if explanation.Season != "" {
		route += fmt.Sprintf(", in season %q", explanation.Season)
	}
	fmt.Fprintf(p.Out, "It takes %s.\n\n", route)
	writer := tabwriter.NewWriter(p.Out, 0, 8, 2, ' ', 0)
	if len(explanation.Others) > 0 {
		fmt.Fprintln(writer, "not taken\twhy")
		for _, other := range explanation.Others {
			fmt.Fprintf(writer, "%s\t%s\n", other.Route, other.Why)
		}
		fmt.Fprintln(writer)
	}
	fmt.Fprintln(writer, "latest\tin the worst case")
	for _, moment := range explanation.Timeline {
		fmt.Fprintf(writer, "%s\t%s\n", time.Duration(moment.Latest), moment.What)
	}
	fmt.Fprintf(writer, "\nmaximum load: %d attempts, %s of node time\n", explanation.Attempts, time.Duration(explanation.TotalAttemptTime))
	return writer.Flush()
}

// DiffTerms prints which requests two files of terms treat differently.
func (p *Printer) DiffTerms(before, after, configPath string) error {
	environment, err := p.termsEnvironment(configPath)
	if err != nil {
		return err
	}
	var tables [2]*terms.RouteTable
	for index, path := range []string{before, after} {
		if tables[index], err = termsfile.Load(path, environment); err != nil {
			return p.PrintFaults(err)
		}
	}
	changes := terms.Diff(tables[0], tables[1])
	if p.JSON {
		return p.printJSON(append([]terms.Change{}, changes...))
	}
	if len(changes) == 0 {
		fmt.Fprintln(p.Out, "no job is treated otherwise")
		return nil
	}
	writer := tabwriter.NewWriter(p.Out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(writer, "requests\troute before\troute after\twhat differs")
	for _, change := range changes {
		for index, difference := range change.Terms {
			if index > 0 {
				change.Requests, change.Before, change.After = "", "", ""
			}
			fmt.Fprintf(writer, "%s\t%s\t%s\t%s\n", change.Requests, dash(change.Before), dash(change.After), difference)
		}
	}
	return writer.Flush()
}

// dash returns s, or "-" if it is empty.
func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
