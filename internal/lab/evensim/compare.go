package evensim

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"sedgestream/internal/lab/day"
)

// CompareSizes prints a table of the balance module with and without digests, beside three other policies, at many sizes and loads.
func CompareSizes(out io.Writer, seed uint64) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "routers\tnodes\tload\tpolicy\t50 ms\t250 ms\t2 s\tlongest herd\tlate\trejected\tprobes a router and second\tbytes\tmemory\ttook")
	for _, routers := range []int{10, 30, 100, 300, 1000, 3000} {
		for _, load := range []float64{0.3, 0.6, 0.85, 0.95} {
			if routers > 300 && load != 0.85 {
				continue
			}
			for _, policy := range []Policy{Omniscient, DelayedOmniscient, BalanceDigests, BalanceAlone, OwnInFlight} {
				config := DefaultConfig(routers, load, policy, seed)
				if config.MeanWork = 20 * time.Millisecond; routers > 300 {
					config.Duration, config.WarmUp = 2*time.Second, time.Second
				}
				result := New(config).Run()
				stats := result.Evenness.WindowStats
				percent := func(count int) float64 { return 100 * float64(count) / float64(max(1, result.Requests)) }
				var mem runtime.MemStats
				runtime.ReadMemStats(&mem)
				fmt.Fprintf(table, "%d\t%d\t%.2f\t%s\t%.2f\t%.2f\t%.2f\t%v\t%.2f %%\t%.2f %%\t%.1f\t%.0f\t%d MB\t%v\n", routers,
					config.Groups*(config.ReplicasPerGroup+1), load, policy, stats[0].CV, stats[1].CV, stats[2].CV,
					result.Evenness.LongestHerd.Round(time.Millisecond), percent(result.Late), percent(result.Rejected), result.Probes,
					result.ControlBytes, mem.Sys>>20, result.Took.Round(100*time.Millisecond))
			}
			table.Flush()
		}
	}
}

// ComparePolicies runs a scenario in simulated time once for each policy, and prints a table.
func ComparePolicies(out io.Writer, scenario *day.Scenario) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "policy\tcoefficient of variation in 50 ms\t250 ms\t2 s\tpeak over mean in 250 ms\therds\tlongest\tidle while others wait\t99 % of requests within\tlate\trejected\tprobes a router and second\tbytes")
	for _, policy := range Policies {
		result := New(FromScenario(scenario, policy)).Run()
		stats := result.Evenness.WindowStats
		percent := func(count int) float64 { return 100 * float64(count) / float64(max(1, result.Requests)) }
		fmt.Fprintf(table, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%v\t%.1f %%\t%v\t%.2f %%\t%.2f %%\t%.1f\t%.0f\n", policy, stats[0].CV,
			stats[1].CV, stats[2].CV, stats[1].Peak, len(result.Evenness.Herds),
			result.Evenness.LongestHerd.Round(time.Millisecond), 100*result.Evenness.IdleShare,
			result.Evenness.P99.Round(100*time.Microsecond), percent(result.Late), percent(result.Rejected), result.Probes, result.ControlBytes)
	}
	table.Flush()
}
