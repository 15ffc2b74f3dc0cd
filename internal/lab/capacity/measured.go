package capacity

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"

	"github.com/google/renameio/v2"
)

// Measurements is the content of docs/measured/capacity.json.
type Measurements struct {
	Series []Series `json:"series"`
}

// Series is what one command measured of a role, at several sizes along one axis.
type Series struct {
	Name       string             `json:"name"`
	Role       string             `json:"role"`
	Axis       string             `json:"axis"` // what X counts: a key of Target.Axes
	Fixed      map[string]float64 `json:"at"`   // sizes that were the same for all points
	Command    string             `json:"command"`
	SourceFile string             `json:"file"` // with the code that measures
	Date       string             `json:"date"`
	OtherLoad  string             `json:"beside"` // other work of the machine meanwhile
	Points     []Point            `json:"points"`
}

// Point is the values of each quantity at one size. Several values of a quantity show its spread.
type Point struct {
	X      float64              `json:"x"`
	Values map[string][]float64 `json:"values"`
}

// Read reads measurements from a file.
func Read(path string) (*Measurements, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	m := &Measurements{}
	if err := json.Unmarshal(text, m); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return m, nil
}

// Write writes the measurements to a file.
func (m *Measurements) Write(path string) error {
	text, err := json.MarshalIndent(m, "", " ")
	if err != nil {
		return err
	}
	return renameio.WriteFile(path, append(text, '\n'), 0o644)
}

// Replace adds a series, in place of an earlier one with its name.
func (m *Measurements) Replace(series Series) {
	for i := range m.Series {
		if m.Series[i].Name == series.Name {
			m.Series[i] = series
			return
		}
	}
	m.Series = append(m.Series, series)
}

// Find returns the series with a name, or nil.
func (m *Measurements) Find(name string) *Series {
	for i := range m.Series {
		if m.Series[i].Name == name {
			return &m.Series[i]
		}
	}
	return nil
}

// Line is a least-squares line through the values of a quantity.
type Line struct {
	Intercept, Slope float64
	Spread           float64 // the largest distance of a value from the line
	MaxX             float64 // the largest size
	Sizes            int     // number of different sizes; with one there is no slope
}

// Fit fits a line to the values of a quantity; false if there are none.
func (s *Series) Fit(quantity string) (line Line, ok bool) {
	var xs, ys []float64
	for _, point := range s.Points {
		for _, y := range point.Values[quantity] {
			xs, ys = append(xs, point.X), append(ys, y)
		}
	}
	if len(xs) == 0 {
		return line, false
	}
	meanX, meanY := mean(xs), mean(ys)
	var xx, xy float64
	for i := range xs {
		xx += (xs[i] - meanX) * (xs[i] - meanX)
		xy += (xs[i] - meanX) * (ys[i] - meanY)
	}
	if xx > 0 {
		line.Slope = xy / xx
	}
	line.Intercept = meanY - line.Slope*meanX
	for i := range xs {
		line.Spread = max(line.Spread, math.Abs(ys[i]-line.Intercept-line.Slope*xs[i]))
	}
	line.MaxX = slices.Max(xs)
	slices.Sort(xs)
	line.Sizes = len(slices.Compact(xs))
	return line, true
}

// mean is the arithmetic mean.
func mean(values []float64) (m float64) {
	for _, value := range values {
		m += value / float64(len(values))
	}
	return m
}
