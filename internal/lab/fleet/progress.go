package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sedgestream/internal/decide/members"
)

// summary is a poll in one line: how many instances have a view of which size, and which instances have a problem.
func (p *poll) summary() string {
	sizes := map[int]int{}
	var problems []string
	for n, state := range p.actual {
		view := p.views[n]
		switch {
		case !state.running && state.leaving:
			problems = append(problems, fmt.Sprintf("%d has left", n))
		case !state.running:
			problems = append(problems, fmt.Sprintf("%d is down", n))
		case state.paused:
			problems = append(problems, fmt.Sprintf("%d stands still", n))
		case view == nil:
			problems = append(problems, fmt.Sprintf("%d does not answer", n))
		default:
			sizes[len(view.View.Members)]++
			if view.Permissions.Situation != members.Majority && view.Permissions.Situation != members.Starting {
				problems = append(problems, fmt.Sprintf("%s: %s", view.Self.Name, view.Permissions.Situation))
			}
		}
	}
	var views []string
	for size, n := range sizes {
		views = append(views, fmt.Sprintf("%d instances see %d members", n, size))
	}
	slices.Sort(views)
	state := strings.Join(views, ", ")
	const maxProblems = 8
	if more := len(problems) - maxProblems; more > 0 {
		problems = append(problems[:maxProblems], fmt.Sprintf("and %d more", more))
	}
	if len(problems) > 0 {
		state += "; " + strings.Join(problems, ", ")
	}
	return state
}

// clientSummary is the rates of answers to clients since a moment, in one line.
func (h *Harness) clientSummary(since time.Time) string {
	now, before := h.counts[len(h.counts)-1], clientCounts{at: h.startedAt}
	for _, count := range h.counts {
		if !count.at.After(since) {
			before = count
		}
	}
	seconds := now.at.Sub(before.at).Seconds()
	rate := func(a, b int) float64 { return float64(a-b) / seconds }
	return fmt.Sprintf("clients: %.0f jobs done a second, %.0f bounced, %.0f otherwise; %d open", rate(now.done, before.done),
		rate(now.rejected, before.rejected), rate(now.other, before.other), now.open)
}
