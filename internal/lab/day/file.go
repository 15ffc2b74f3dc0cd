package day

import (
	_ "embed" // for the schema
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/google/renameio/v2"

	"sedgestream/internal/configfile"
)

// SchemaText is the published JSON schema of day files.
//
//go:embed day.schema.json
var SchemaText []byte

// schema is the parsed SchemaText.
var schema = sync.OnceValue(func() *configfile.Schema { return configfile.NewSchema(SchemaText) })

// Fleet describes the processes, nodes and clients of a scenario that is run with real processes.
type Fleet struct {
	Planners         int // the first instances
	Routers          int // the instances after the planners
	Standalone       int // how many of the last routers follow no planner
	Groups           int // of nodes
	NodesPerGroup    int
	Cores            int           // requests that a node serves at a time; 0: any number
	WorkTime         time.Duration // mean time that a node takes for a request
	ClientsPerRouter int
	ClientPause      time.Duration // mean time of a client between an answer and its next request
	ReportLoads      bool          // routers report their attempts to planners
	ReadsOnly        bool          // clients only read
	TrafficSpread    float64       // standard deviation of the logarithm of a router's traffic
	SettingsFile     string        // the file with the routers' settings; "" for standin.ShortTimeoutSettings
}

// DefaultFleet returns the values of the fields that a file leaves out.
func DefaultFleet() Fleet {
	return Fleet{
		Planners:         3,
		Groups:           1,
		NodesPerGroup:    4,
		WorkTime:         2 * time.Millisecond,
		ClientsPerRouter: 1,
		ClientPause:      250 * time.Millisecond,
	}
}

// defaultPeriod is the time between two membership probes where a file gives none.
const defaultPeriod = 200 * time.Millisecond

// The format of the file. Durations are text, as in "250ms", so that people can write them.
type (
	fileScenario struct {
		Version int         `json:"version"`
		Note    string      `json:"note,omitempty"`
		Seed    uint64      `json:"seed,omitempty"`
		Period  string      `json:"period,omitempty"`
		Span    string      `json:"span,omitempty"`
		Fleet   fileFleet   `json:"fleet"`
		Faults  []fileFault `json:"faults"`
	}
	fileFleet struct {
		Planners *int    `json:"planners,omitempty"`
		Routers  int     `json:"routers"`
		Plain    int     `json:"plain,omitempty"`
		Groups   int     `json:"groups,omitempty"`
		Nodes    int     `json:"nodes,omitempty"`
		Cores    int     `json:"cores,omitempty"`
		Work     string  `json:"work,omitempty"`
		Clients  *int    `json:"clients,omitempty"`
		Pause    string  `json:"pause,omitempty"`
		Loads    bool    `json:"loads,omitempty"`
		Reads    bool    `json:"reads,omitempty"`
		Uneven   float64 `json:"uneven,omitempty"`
		Contract string  `json:"contract,omitempty"`
	}
	fileFault struct {
		At     string  `json:"at"`
		For    string  `json:"for,omitempty"`
		Kind   Kind    `json:"kind"`
		Who    []int   `json:"who,omitempty"`
		Others []int   `json:"others,omitempty"`
		Part   float64 `json:"part,omitempty"`
		Span   string  `json:"span,omitempty"`
	}
)

// formatDuration writes a duration; 0 is written as "".
func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// Write writes the scenario to a file that Read accepts.
func (s *Scenario) Write(path string) error {
	fleet := &s.Fleet
	out := fileScenario{
		Version: 1,
		Note:    s.Note,
		Seed:    s.Seed,
		Period:  formatDuration(s.Period),
		Span:    formatDuration(s.Duration),
		Fleet: fileFleet{
			Planners: &fleet.Planners,
			Routers:  fleet.Routers,
			Plain:    fleet.Standalone,
			Groups:   fleet.Groups,
			Nodes:    fleet.NodesPerGroup,
			Cores:    fleet.Cores,
			Work:     formatDuration(fleet.WorkTime),
			Clients:  &fleet.ClientsPerRouter,
			Pause:    formatDuration(fleet.ClientPause),
			Loads:    fleet.ReportLoads,
			Reads:    fleet.ReadsOnly,
			Uneven:   fleet.TrafficSpread,
			Contract: fleet.SettingsFile,
		},
		Faults: []fileFault{},
	}
	for _, fault := range s.Faults {
		out.Faults = append(out.Faults, fileFault{
			At:     fault.At.String(),
			For:    formatDuration(fault.Duration),
			Kind:   fault.Kind,
			Who:    fault.Targets,
			Others: fault.Peers,
			Part:   fault.Amount,
			Span:   formatDuration(fault.MaxDelay),
		})
	}
	text, err := json.MarshalIndent(out, "", "  ")
	if err == nil {
		err = renameio.WriteFile(path, append(text, '\n'), 0o644)
	}
	return err
}

// Read reads a scenario that was written by Write or by hand. All mistakes of a file are returned at once, each with its position.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	source := configfile.Parse(path, text)
	if source.Value == nil {
		return nil, source.Err()
	}
	if !source.Validate(schema()) {
		return nil, source.Err()
	}
	var file fileScenario
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	var faults []configfile.PointerFault
	addFault := func(at, format string, args ...any) {
		faults = append(faults, configfile.PointerFault{Pointer: at, Reason: fmt.Sprintf(format, args...)})
	}
	parseDuration := func(at, text string, fallback time.Duration) time.Duration {
		if text == "" {
			return fallback
		}
		duration, err := time.ParseDuration(text)
		if err != nil {
			addFault(at, "%q is not a duration", text)
		}
		return duration
	}
	orDefault := func(n, fallback int) int {
		if n == 0 {
			return fallback
		}
		return n
	}
	defaults := DefaultFleet()
	scenario := &Scenario{
		Seed:   file.Seed,
		Note:   file.Note,
		Period: parseDuration("/period", file.Period, defaultPeriod),
		Fleet: Fleet{
			Planners:         defaults.Planners,
			Routers:          file.Fleet.Routers,
			Standalone:       file.Fleet.Plain,
			Groups:           orDefault(file.Fleet.Groups, defaults.Groups),
			NodesPerGroup:    orDefault(file.Fleet.Nodes, defaults.NodesPerGroup),
			Cores:            file.Fleet.Cores,
			WorkTime:         parseDuration("/fleet/work", file.Fleet.Work, defaults.WorkTime),
			ClientsPerRouter: defaults.ClientsPerRouter,
			ClientPause:      parseDuration("/fleet/pause", file.Fleet.Pause, defaults.ClientPause),
			ReportLoads:      file.Fleet.Loads,
			ReadsOnly:        file.Fleet.Reads,
			TrafficSpread:    file.Fleet.Uneven,
			SettingsFile:     file.Fleet.Contract,
		},
	}
	if file.Fleet.Planners != nil {
		scenario.Fleet.Planners = *file.Fleet.Planners
	}
	if file.Fleet.Clients != nil {
		scenario.Fleet.ClientsPerRouter = *file.Fleet.Clients
	}
	if scenario.Period < 10*time.Millisecond {
		addFault("/period", "%v is shorter than 10ms", scenario.Period)
	}
	if scenario.Fleet.Standalone > scenario.Fleet.Routers {
		addFault("/fleet/plain", "%d of %d routers", scenario.Fleet.Standalone, scenario.Fleet.Routers)
	}
	scenario.Instances = scenario.Fleet.Planners + scenario.Fleet.Routers
	for i, in := range file.Faults {
		at := fmt.Sprintf("/faults/%d", i)
		fault := Fault{
			At:       parseDuration(at+"/at", in.At, 0),
			Duration: parseDuration(at+"/for", in.For, 0),
			Kind:     in.Kind,
			Targets:  in.Who,
			Peers:    in.Others,
			Amount:   in.Part,
			MaxDelay: parseDuration(at+"/span", in.Span, 0),
		}
		limit, what := scenario.Instances, "instance"
		if fault.Kind.targetsNodes() {
			limit, what = scenario.Fleet.Groups*scenario.Fleet.NodesPerGroup, "node"
		}
		for _, number := range slices.Concat(fault.Targets, fault.Peers) {
			if number >= limit {
				addFault(at, "it names %s %d of %d", what, number, limit)
			}
		}
		if reason := fault.invalidReason(); reason != "" {
			addFault(at, "%s", reason)
		}
		scenario.Faults = append(scenario.Faults, fault)
	}
	scenario.SortFaults()
	scenario.Duration = max(parseDuration("/span", file.Span, 0), scenario.LastFaultEnd())
	source.AddFaults(faults)
	if err := source.Err(); err != nil {
		return nil, err
	}
	return scenario, nil
}

// targetsNodes reports whether a fault of this kind names nodes, not instances.
func (k Kind) targetsNodes() bool {
	return k == ColdRestart || k == ChangeCapacity || k == FalseLoad || k == ErrorAnswers
}

// TargetsNodes reports whether Targets are numbers of nodes, not of instances.
func (f *Fault) TargetsNodes() bool { return f.Kind.targetsNodes() }

// invalidReason says why the fault can't be run; "" if it can.
func (f *Fault) invalidReason() string {
	needsTargets := map[Kind]bool{
		Kill: true, Pause: true, Leave: true, Partition: true, OneWay: true, Stall: true, DuplicateName: true, Drain: true,
		ChangeCapacity: true, FalseLoad: true, ErrorAnswers: true, Starve: true, Garbage: true, FakeNames: true,
	}
	switch {
	case needsTargets[f.Kind] && len(f.Targets) == 0:
		return fmt.Sprintf("%s needs to know who", f.Kind)
	case (f.Kind == OneWay || f.Kind == Stall) && len(f.Peers) == 0:
		return fmt.Sprintf("%s needs others", f.Kind)
	case f.Amount > 1 && f.Kind != Throttle && f.Kind != Garbage && f.Kind != FakeNames && f.Kind != ChangeCapacity:
		return fmt.Sprintf("a part of %v", f.Amount)
	case f.Kind == ChangeCapacity && f.Amount <= 0:
		return "weak needs a part above 0"
	}
	return ""
}
