// Package tierfile reads the tier file, which names the planners and configures the membership; forwarders and planners
// read the same file.
package tierfile

import (
	_ "embed" // for the schema
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"sedgestream/internal/configfile"
)

// SchemaText is the published JSON schema of the file.
//
//go:embed tier.schema.json
var SchemaText []byte

var schema = sync.OnceValue(func() *configfile.Schema { return configfile.NewSchema(SchemaText) })

// Tier is the content of a tier file.
type Tier struct {
	Fleet                   string // name of the fleet
	LeaseTerm, ReportPeriod time.Duration
	MaxConns                int               // connections to a planner
	Planners                map[string]string // addresses, by name
	// Membership makes routers take part in the membership; planners always do. Seeds are the addresses at which an instance
	// finds other members; the planners are among them. ProbePeriod and ForgetAfter are the timing of the membership.
	Membership  bool
	Seeds       []string
	ProbePeriod time.Duration
	ForgetAfter time.Duration
	// ShareLoads makes routers that follow planners report the load of their attempts and use the sums over all routers that
	// planners return.
	ShareLoads bool
}

// Defaults and limits. The default lease term outlasts a disturbance of one second, and contains so many report periods that
// one report may be lost and the next one late.
const (
	defaultTerm        = 2 * time.Second
	periodsPerTerm     = 8
	defaultMaxConns    = 1024
	minPeriod          = 10 * time.Millisecond
	maxTerm            = time.Minute
	periodsPerProbe    = 4
	defaultForgetAfter = 24 * time.Hour
	minForgetProbes    = 100 // probe periods; no message is late for longer
)

// Load reads the file. If the file can be read but is wrong, the error is configfile.Faults.
func Load(path string) (*Tier, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	document := configfile.Parse(path, text)
	if document.Value == nil {
		return nil, document.Err()
	}
	document.Validate(schema())
	section, _ := document.Value.(map[string]any)
	t := &Tier{LeaseTerm: defaultTerm, MaxConns: defaultMaxConns, Planners: map[string]string{}}
	t.Fleet, _ = section["fleet"].(string)
	var faults []configfile.PointerFault
	readDuration := func(key string, into *time.Duration) {
		if text, ok := section[key].(string); ok {
			if d, err := time.ParseDuration(text); err == nil {
				*into = d
			}
		}
	}
	readDuration("term", &t.LeaseTerm)
	t.ReportPeriod = t.LeaseTerm / periodsPerTerm
	readDuration("period", &t.ReportPeriod)
	if t.ReportPeriod < minPeriod {
		faults = append(faults, configfile.PointerFault{
			Pointer: "/period",
			Reason:  fmt.Sprintf("%s is shorter than %s", t.ReportPeriod, minPeriod),
		})
	}
	if t.LeaseTerm < 4*t.ReportPeriod || t.LeaseTerm > maxTerm {
		faults = append(faults, configfile.PointerFault{
			Pointer: "/term",
			Reason:  fmt.Sprintf("%s is not between four periods of %s and %s", t.LeaseTerm, t.ReportPeriod, maxTerm),
		})
	}
	if n, ok := section["connections"].(float64); ok {
		t.MaxConns = int(n)
	}
	_, t.ShareLoads = section["loads"].(map[string]any)
	planners, _ := section["planners"].([]any)
	for i, p := range planners {
		planner, _ := p.(map[string]any)
		name, _ := planner["name"].(string)
		address, _ := planner["address"].(string)
		if _, twice := t.Planners[name]; twice {
			faults = append(faults, configfile.PointerFault{
				Pointer: fmt.Sprintf("/planners/%d/name", i),
				Reason:  fmt.Sprintf("another planner has the name %q", name),
			})
		}
		if _, _, err := net.SplitHostPort(address); err != nil && address != "" {
			faults = append(faults, configfile.PointerFault{
				Pointer: fmt.Sprintf("/planners/%d/address", i),
				Reason:  fmt.Sprintf("%q is no address with a port", address),
			})
		}
		t.Planners[name] = address
	}
	t.ProbePeriod, t.ForgetAfter = periodsPerProbe*t.ReportPeriod, defaultForgetAfter
	if m, ok := section["members"].(map[string]any); ok {
		t.Membership = true
		section = m
		readDuration("period", &t.ProbePeriod)
		readDuration("forget", &t.ForgetAfter)
		seeds, _ := m["seeds"].([]any)
		for i, s := range seeds {
			seed, _ := s.(string)
			if _, _, err := net.SplitHostPort(seed); err != nil && seed != "" {
				faults = append(faults, configfile.PointerFault{
					Pointer: fmt.Sprintf("/members/seeds/%d", i),
					Reason:  fmt.Sprintf("%q is no address with a port", seed),
				})
			}
			t.Seeds = append(t.Seeds, seed)
		}
	}
	for _, address := range t.Planners {
		t.Seeds = append(t.Seeds, address)
	}
	if t.ProbePeriod < minPeriod || t.ProbePeriod > maxTerm {
		faults = append(faults, configfile.PointerFault{
			Pointer: "/members/period",
			Reason:  fmt.Sprintf("%s is not between %s and %s", t.ProbePeriod, minPeriod, maxTerm),
		})
	}
	if t.ForgetAfter < minForgetProbes*t.ProbePeriod {
		faults = append(faults, configfile.PointerFault{
			Pointer: "/members/forget",
			Reason:  fmt.Sprintf("%s is shorter than %d probes of %s", t.ForgetAfter, minForgetProbes, t.ProbePeriod),
		})
	}
	document.AddFaults(faults)
	if err := document.Err(); err != nil {
		return nil, err
	}
	return t, nil
}
