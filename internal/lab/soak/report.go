package soak

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Outcome is the result of one scenario.
type Outcome struct {
	Scenario *Scenario
	Requests int
	Served   float64 // share of the requests that were answered with a value
	Restarts int     // processes started beyond the first of each router
	Findings []Finding
}

// NewOutcome checks a record.
func NewOutcome(record *Record) *Outcome {
	return &Outcome{Scenario: record.Scenario, Requests: len(record.Requests), Served: ServedShare(record),
		Restarts: len(record.Processes) - record.Scenario.Routers, Findings: Check(record)}
}

// String returns a one-line summary of the scenario.
func (o *Outcome) String() string {
	scenario := o.Scenario
	verdict := "passed"
	if len(o.Findings) > 0 {
		verdict = "BROKEN: " + strings.Join(countByRule(o.Findings), ", ")
	}
	return fmt.Sprintf("seed %d: %d routers, %d nodes, %d clients each, crowd %d, checks %s, probes %t, copies %t, remembered %t, ask %t: %d requests, served %.3f, %d restarts; %s",
		scenario.Seed, scenario.Routers, scenario.Nodes, scenario.ClientsPerRouter, scenario.IdleClients,
		scenario.ServerChecks, scenario.Probes, scenario.Hedging, scenario.RouterSessions,
		scenario.PollDiscovery, o.Requests, o.Served, o.Restarts, verdict)
}

// Details returns one line for each finding, and the scenario as JSON.
func (o *Outcome) Details() string {
	var text strings.Builder
	for _, f := range o.Findings {
		fmt.Fprintf(&text, "%s %s at %v: %s\n", f.Rule, f.RequestID, f.Offset, f.Detail)
	}
	scenario, err := json.Marshal(o.Scenario)
	if err != nil {
		return text.String() + err.Error()
	}
	return text.String() + string(scenario)
}

// Summary returns a one-line summary of all outcomes.
func Summary(outcomes []*Outcome) string {
	var findings []Finding
	broken, requests, restarts, served := 0, 0, 0, 0.0
	for _, outcome := range outcomes {
		if len(outcome.Findings) > 0 {
			broken++
		}
		findings = append(findings, outcome.Findings...)
		requests += outcome.Requests
		restarts += outcome.Restarts
		served += outcome.Served / float64(len(outcomes))
	}
	text := fmt.Sprintf("%d days, %d broken; %d requests, served %.3f in the mean, %d restarts", len(outcomes), broken,
		requests, served, restarts)
	if len(findings) > 0 {
		text += "; " + strings.Join(countByRule(findings), ", ")
	}
	return text
}
