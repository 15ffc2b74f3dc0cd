package capacity

// The series of the same size, once with real routers only and once with mostly hollow ones. Their values have to agree.
const (
	HollowRouters  = "router among hollow ones"
	RealRouters    = "router among real ones"
	HollowPlanners = "planner of hollow ones"
	RealPlanners   = "planner of real ones"
)

// comparisonTable compares these series.
func comparisonTable(measurements *Measurements) string {
	text := tableHeader("who", "quantity", "all real", "most hollow", "hollow by real")
	for _, pair := range [][2]string{{RealRouters, HollowRouters}, {RealPlanners, HollowPlanners}} {
		real, hollow := measurements.Find(pair[0]), measurements.Find(pair[1])
		if real == nil || hollow == nil {
			text += tableRow(pair[0], "all", "not measured", "not measured", "")
			continue
		}
		for _, quantity := range []string{CPU, Memory, Descriptors, InBytes, OutBytes, InMessages, OutMessages, MemberBytes, MemberMessages} {
			a, _ := real.Fit(quantity)
			b, _ := hollow.Fit(quantity)
			ratio := ""
			if a.Intercept != 0 {
				ratio = formatNumber(b.Intercept / a.Intercept)
			}
			text += tableRow(real.Role, quantity, formatNumber(a.Intercept)+" (spread "+formatNumber(a.Spread)+")",
				formatNumber(b.Intercept)+" (spread "+formatNumber(b.Spread)+")", ratio)
		}
	}
	return text
}
