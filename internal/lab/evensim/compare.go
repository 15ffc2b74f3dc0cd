package evensim

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"sedgestream/internal/lab/day"
)

// Compare has each policy play a day in simulated time, and prints a table.
func Compare(out io.Writer, d *day.Day) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "who chooses\tcoefficient of variation in 50 ms\t250 ms\t2 s\tpeak over mean in 250 ms\therds\tlongest\tidle while others wait\t99 % of jobs within\tlate\tbounced\tprobes a router and second\tbytes")
	for _, p := range Policies {
		r := New(OfDay(d, p)).Run()
		f := r.Even.Figures
		part := func(n int) float64 { return 100 * float64(n) / float64(max(1, r.Jobs)) }
		fmt.Fprintf(t, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%v\t%.1f %%\t%v\t%.2f %%\t%.2f %%\t%.1f\t%.0f\n", p, f[0].CV, f[1].CV, f[2].CV, f[1].Peak, len(r.Even.Herds),
			r.Even.Longest.Round(time.Millisecond), 100*r.Even.Idle, r.Even.High.Round(100*time.Microsecond), part(r.Late), part(r.Bounced), r.Probes, r.Words)
	}
	t.Flush()
}
