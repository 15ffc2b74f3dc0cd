package capacity

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"

	"github.com/google/renameio/v2"
)

// The generated tables of the page stand between these markers; the rest is written by hand.
const (
	tablesBegin = "<!-- tables: %s, by make capacity -->\n"
	tablesEnd   = "<!-- end of tables -->"
)

// Tables are the generated tables, by the names in their markers.
func (t *Target) Tables(m *Measurements) (map[string]string, error) {
	var roles strings.Builder
	for _, role := range t.Roles() {
		text, err := t.roleTable(m, role)
		if err != nil {
			return nil, err
		}
		roles.WriteString(text)
	}
	return map[string]string{"arithmetic": t.arithmeticTable(), "roles": roles.String(), "comparison": comparisonTable(m),
		"runs": seriesTable(m)}, nil
}

// FillTables replaces the tables of a page.
func FillTables(page string, tables map[string]string) (string, error) {
	for name, text := range tables {
		begin := fmt.Sprintf(tablesBegin, name)
		before, rest, found := strings.Cut(page, begin)
		_, after, ended := strings.Cut(rest, tablesEnd)
		if !found || !ended {
			return "", fmt.Errorf("the page has no place for the tables of %s", name)
		}
		page = before + begin + "\n" + text + "\n" + tablesEnd + after
	}
	return page, nil
}

// UpdatePage replaces the tables of the page by those that follow from the measurements.
func UpdatePage(pagePath, measuredPath string) error {
	measurements, err := Read(measuredPath)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(pagePath)
	if err != nil {
		return err
	}
	tables, err := Goal.Tables(measurements)
	if err != nil {
		return err
	}
	text, err := FillTables(string(page), tables)
	if err != nil {
		return err
	}
	return renameio.WriteFile(pagePath, []byte(text), 0o644)
}

// tableRow is a row of a Markdown table.
func tableRow(cells ...string) string { return "| " + strings.Join(cells, " | ") + " |\n" }

// tableHeader is the header of a Markdown table.
func tableHeader(cells ...string) string {
	return tableRow(cells...) + strings.Repeat("| --- ", len(cells)) + "|\n"
}

// arithmeticTable is the table of Arithmetic.
func (t *Target) arithmeticTable() string {
	text := tableHeader("what follows", "figure", "from")
	for _, cells := range t.Arithmetic() {
		text += tableRow(cells...)
	}
	return text
}

// roleTable is the table of a role.
func (t *Target) roleTable(m *Measurements, role Role) (string, error) {
	text := "### " + role.Name + "\n\nState: " + role.State + "\n\n" +
		tableHeader("what", "intercept + slope x what it grows with", "spread", "measured to", "stretched", "measured by",
			"figure", "limit", "ratio", "")
	for _, row := range role.Rows {
		figure, err := t.Extrapolate(m, row)
		if err != nil {
			return "", err
		}
		text += figure.tableRow()
	}
	return text + "\n", nil
}

// tableRow is the figure as a row of its role's table.
func (f *Figure) tableRow() string {
	limit, ratio, over := "none set", "", ""
	if f.Limit > 0 {
		limit = formatNumber(f.Limit) + " (" + f.LimitSource + ")"
	}
	label := f.Label
	if f.Unit != "" {
		label += ", " + f.Unit
	}
	if !f.Known {
		return tableRow(label, "not measured", "", "", "", "", "not measured", limit, "", "")
	}
	if f.Limit > 0 {
		ratio = formatNumber(f.Ratio())
	}
	if f.Ratio() > 1 {
		over = "**OVER**"
	}
	figure := formatNumber(f.Value)
	if f.Value < f.Spread {
		figure = "under " + formatNumber(f.Spread)
	}
	var lines, spreads, sizes []string
	for i, line := range f.Lines {
		sum := formatNumber(line.Intercept) + formatSlope(line.Slope) + " x " + f.Axes[i]
		if line.Sizes == 1 {
			sum = formatNumber(line.Intercept) + ", at one size"
		}
		if i > 0 {
			sum = formatNumber(line.Slope) + " x " + f.Axes[i] + " beyond"
		}
		lines, spreads, sizes = append(lines, sum), append(spreads, formatNumber(line.Spread)),
			append(sizes, formatNumber(line.MaxX)+" "+f.Axes[i])
	}
	return tableRow(label, strings.Join(lines, "; "), strings.Join(spreads, "; "), strings.Join(sizes, "; "),
		formatNumber(f.Extrapolation)+" times", strings.Join(f.Series, "; "), figure, limit, ratio, over)
}

// formatSlope formats a slope as the second term of a sum.
func formatSlope(slope float64) string {
	if slope < 0 {
		return " - " + formatNumber(-slope)
	}
	return " + " + formatNumber(slope)
}

// seriesTable lists by which command, file and date each series was measured.
func seriesTable(m *Measurements) string {
	text := tableHeader("series", "command", "file", "run on", "beside")
	for _, series := range m.Series {
		text += tableRow(series.Name, "`"+series.Command+"`", series.SourceFile, series.Date, series.OtherLoad)
	}
	return text
}

// formatNumber formats a number with three significant digits, and commas between thousands.
func formatNumber(value float64) string {
	if value == 0 {
		return "0"
	}
	decimals := max(0, 2-int(math.Floor(math.Log10(math.Abs(value)))))
	text := strconv.FormatFloat(value, 'f', min(decimals, 6), 64)
	whole, fraction, _ := strings.Cut(text, ".")
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign, whole = "-", whole[1:]
	}
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if fraction = strings.TrimRight(fraction, "0"); fraction != "" {
		whole += "." + fraction
	}
	return sign + whole
}
