// Package capacity extrapolates measurements to the operators' target size, compares them with limits, and writes the tables of
// docs/CAPACITY.md.
package capacity

import (
	"fmt"
	"strconv"
	"strings"
)

// Target is the size that the operators plan for in two years, and its limits.
type Target struct {
	Routers, Databases                 int
	Clients, Statements                float64 // client connections; statements a second
	PrimaryChanges                     float64 // a day
	PrimaryChangeSeconds               float64 // duration of each of these at most
	Regions, ZonesPerRegion            int
	ConfigChanges, ConfigChangeSeconds float64 // a day; time within which each is in force everywhere
	ControlCPU                         float64 // of a router, in ms a second
	ControlMemory                      float64 // of a router, in MB
	ControlBytes                       float64 // of a router, a second
	ControlMachines                    int
	MachineFailures, Restarts          float64 // a day
	RouterMemory, RouterCPU            float64 // default limits of a router, in MB and ms a second
	RouterSockets, PlannerConnections  float64 // default limits of a router's descriptors and of a planner's connections
}

// Goal is the operators' target. Its last line is the defaults of this program.
var Goal = Target{Routers: 460, Databases: 590, Clients: 2.9e6, Statements: 920e3, PrimaryChanges: 2, PrimaryChangeSeconds: 8,
	Regions: 2, ZonesPerRegion: 4, ConfigChanges: 1100, ConfigChangeSeconds: 5, ControlCPU: 38, ControlMemory: 64, ControlBytes: 7000, ControlMachines: 9,
	MachineFailures: 4, Restarts: 370,
	RouterMemory: 192, RouterCPU: 1000, RouterSockets: 1024, PlannerConnections: 1024}

// clientDescriptorShare is the share of a router's descriptors for clients that have sent a request: a third, of which an eighth stays
// in reserve.
const clientDescriptorShare = 7.0 / 8 / 3

const secondsPerDay = 24 * 60 * 60

// Axes are the sizes that quantities grow with, at the target.
func (t *Target) Axes() map[string]float64 {
	return map[string]float64{
		"routers":   float64(t.Routers),
		"databases": float64(t.Databases),
		"clients":   t.Clients / float64(t.Routers),
	}
}

// Arithmetic is what follows from the target without measurements, as rows of a table.
func (t *Target) Arithmetic() [][]string {
	routers, databases := float64(t.Routers), float64(t.Databases)
	return [][]string{
		{"client connections a router", formatNumber(t.Clients / routers), "2,900,000 / 460"},
		{"descriptors that a router's file has to give for these", formatNumber(t.Clients / routers / clientDescriptorShare), "6,304 / (7/8 x 1/3), as `internal/service` and `internal/frontend` share them out"},
		{"statements a second and router", formatNumber(t.Statements / routers), "920,000 / 460"},
		{"statements a second from a router to a database, evenly spread", formatNumber(t.Statements / routers / databases), "920,000 / 460 / 590"},
		{"statements a second and database", formatNumber(t.Statements / databases), "920,000 / 590"},
		{"a configuration change every", formatNumber(secondsPerDay/t.ConfigChanges) + " s", "86,400 / 1,100"},
		{"a restart every", formatNumber(secondsPerDay/t.Restarts) + " s", "86,400 / 370"},
		{"a machine failure every", formatNumber(secondsPerDay/t.MachineFailures/3600) + " h", "24 / 4"},
		{"a change of primary every", formatNumber(secondsPerDay/t.PrimaryChanges/3600) + " h", "24 / 2"},
		{"routers a zone, evenly spread", formatNumber(routers / float64(t.Regions*t.ZonesPerRegion)), "460 / 8"},
		{"clients that come again after a router's restart", formatNumber(t.Clients / routers), "one router's"},
		{"clients that come again a second, by restarts alone", formatNumber(t.Clients / routers * t.Restarts / secondsPerDay), "6,304 x 370 / 86,400"},
		{"control bytes a second of all routers at the budget, MB", formatNumber(routers * t.ControlBytes / 1e6), "460 x 7,000"},
	}
}

// ParseFraction parses a fraction of the target, such as 1/8 or 1.
func ParseFraction(text string) (float64, error) {
	numerator, denominator, fraction := strings.Cut(text, "/")
	if !fraction {
		denominator = "1"
	}
	a, errNumerator := strconv.ParseFloat(numerator, 64)
	b, errDenominator := strconv.ParseFloat(denominator, 64)
	if errNumerator != nil || errDenominator != nil || a <= 0 || b <= 0 || a > b {
		return 0, fmt.Errorf("%q is not a fraction of the target, such as 1/8", text)
	}
	return a / b, nil
}
