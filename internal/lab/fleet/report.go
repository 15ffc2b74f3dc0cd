package fleet

import (
	"bytes"
	"fmt"
	"html"
	"slices"
	"time"

	"github.com/google/renameio/v2"

	"sedgestream/internal/decide/members"
)

// beliefState is how the beliefs of an instance compared with the truth at a poll.
type beliefState uint8

const (
	stateDown     beliefState = iota
	statePaused               // suspended or starved
	stateSilent               // running, and did not answer the query
	stateCorrect              // all beliefs are true
	stateSuspects             // suspects a live instance
	stateOutdated             // believes in a dead instance, or does not know a live one
	stateWrong                // calls a live instance failed
)

// beliefStyles are the colour and the legend of each state in the report.
var beliefStyles = [...]struct{ colour, legend string }{
	{"#d5d9de", "down"}, {"#b9a5e2", "stands still"}, {"#8a949e", "no answer"}, {"#7cc48a", "all beliefs true"},
	{"#e9d66b", "suspects a live one"},
	{"#e8a75d", "not up to date"}, {"#dd6156", "calls a live one failed"},
}

// beliefOf is the state of an instance at a poll, and in what it was wrong.
func (p *poll) beliefOf(observer int) (state beliefState, why string) {
	observerState, view := p.actual[observer], p.views[observer]
	switch {
	case !observerState.running:
		return stateDown, ""
	case observerState.paused || observerState.starved:
		return statePaused, ""
	case view == nil:
		return stateSilent, ""
	}
	health := map[string]members.Health{}
	for _, member := range view.Members {
		health[member.Record.Address] = member.Record.Health
	}
	state = stateCorrect
	note := func(to beliefState, what string, subject int) {
		state = max(state, to)
		if len(why) < 200 {
			why += fmt.Sprintf("%s %d; ", what, subject)
		}
	}
	for subject, subjectState := range p.actual {
		if subject == observer || subjectState.duplicate || observerState.duplicate {
			continue
		}
		believed, known := health[subjectState.address]
		switch present := subjectState.running && !subjectState.leaving; {
		case present && !known:
			note(stateOutdated, "does not know", subject)
		case present && believed >= members.Failed && !subjectState.paused && !subjectState.starved:
			note(stateWrong, "calls failed", subject)
		case present && believed == members.Suspect && !subjectState.paused && !subjectState.starved:
			note(stateSuspects, "suspects", subject)
		case !subjectState.running && known && believed < members.Failed:
			note(stateOutdated, "still believes alive", subject)
		}
	}
	return state, why
}

// WriteReport writes an HTML report: what each instance believed over time compared with the truth, and the answers to clients.
func (h *Harness) WriteReport(path string, verdict *Verdict) error {
	const rowHeight, left, width = 9, 90, 1000
	var page bytes.Buffer
	begin := h.scenarioStartedAt
	end := begin
	for _, current := range h.polls {
		if current.at.After(end) {
			end = current.at
		}
	}
	span := max(end.Sub(begin).Seconds(), 0.1)
	x := func(t time.Time) float64 { return left + width*max(0, t.Sub(begin).Seconds())/span }
	fmt.Fprintf(&page, `<!doctype html><meta charset="utf-8"><title>Fault scenario</title>
<style>body{font:14px sans-serif;margin:2em;max-width:1150px}table{border-collapse:collapse}td,th{padding:2px 10px 2px 0;text-align:left}text{font:10px sans-serif}</style>
<h1>Fault scenario with %d processes</h1><p>%s</p>`, len(h.processes), html.EscapeString(verdict.summary()))
	if len(verdict.Violations) > 0 {
		page.WriteString("<h2>Violated rules and guarantees</h2><ul>")
		for _, fault := range verdict.Violations {
			fmt.Fprintf(&page, "<li>%s</li>", html.EscapeString(fault))
		}
		page.WriteString("</ul>")
	}
	page.WriteString("<p>")
	for _, state := range beliefStyles {
		fmt.Fprintf(&page, `<span style="background:%s">&emsp;</span> %s&emsp;`, state.colour, state.legend)
	}
	page.WriteString("</p>")
	faults := h.faultSpans(end)
	rows := 0
	for _, current := range h.polls {
		rows = max(rows, len(current.actual))
	}
	// A line for each fault, then a row for each instance.
	height := 14*len(faults) + rowHeight*rows + 40
	fmt.Fprintf(&page, `<h2>Beliefs of the instances</h2><svg width="%d" height="%d">`, left+width+20, height)
	for k, fault := range faults {
		y := 14 * k
		fmt.Fprintf(&page, `<rect x="%.1f" y="%d" width="%.1f" height="10" fill="#9bb7d4"><title>%s</title></rect><text x="%.1f" y="%d">%s</text>`,
			x(fault.from), y, max(2, x(fault.to)-x(fault.from)), html.EscapeString(fault.description), x(fault.from)+3, y+9,
			html.EscapeString(fault.description))
	}
	top := 14*len(faults) + 6
	for n := range rows {
		fmt.Fprintf(&page, `<text x="0" y="%d">%s</text>`, top+rowHeight*n+8, html.EscapeString(h.processes[n].name))
	}
	for k, current := range h.polls {
		from, to := x(current.at), left+width+0.0
		if current.at.Before(begin) {
			continue
		}
		if k+1 < len(h.polls) {
			to = x(h.polls[k+1].at)
		}
		for n := range current.actual {
			state, why := current.beliefOf(n)
			fmt.Fprintf(&page, `<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="%s"><title>%s at %.1f s: %s %s</title></rect>`,
				from, top+rowHeight*n, max(0.5, to-from+0.3), rowHeight-1,
				beliefStyles[state].colour, html.EscapeString(h.processes[n].name), current.at.Sub(begin).Seconds(),
				beliefStyles[state].legend, html.EscapeString(why))
		}
	}
	for t := 0.0; t <= span; t += max(1, float64(int(span/10))) {
		fmt.Fprintf(&page, `<text x="%.1f" y="%d">%.0f s</text>`, left+width*t/span, height-6, t)
	}
	page.WriteString("</svg>")
	h.drawClients(&page, x, begin)
	if verdict.Evenness != nil {
		fmt.Fprintf(&page, "<h2>How evenly load lay on replicas</h2><pre>%s</pre>", html.EscapeString(verdict.Evenness.String()))
		h.drawLoads(&page, x, begin, end)
	}
	h.writeDeaths(&page)
	return renameio.WriteFile(path, page.Bytes(), 0o644)
}

// faultSpan is the time during which a fault was active.
type faultSpan struct {
	from, to    time.Time
	description string
}

// faultSpans lists the faults that have begun; those that have not ended last until end.
func (h *Harness) faultSpans(end time.Time) (spans []faultSpan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for k, event := range h.faultEvents {
		if !event.active {
			continue
		}
		to := end
		if event.fault.Duration == 0 {
			to = event.at
		}
		for _, later := range h.faultEvents[k:] {
			if later.fault == event.fault && !later.active {
				to = later.at
			}
		}
		spans = append(spans, faultSpan{event.at, to, describeFault(event.fault)})
	}
	return spans
}

// drawClients draws the rates of answers between polls.
func (h *Harness) drawClients(page *bytes.Buffer, x func(time.Time) float64, begin time.Time) {
	const height = 120
	type bar struct {
		from, to              time.Time
		done, rejected, other float64
	}
	var bars []bar
	highest := 1.0
	for k := 1; k < len(h.counts); k++ {
		previous, next := h.counts[k-1], h.counts[k]
		secs := next.at.Sub(previous.at).Seconds()
		if previous.at.Before(begin) || secs <= 0 {
			continue
		}
		current := bar{previous.at, next.at, float64(next.done-previous.done) / secs,
			float64(next.rejected-previous.rejected) / secs, float64(next.other-previous.other) / secs}
		highest = max(highest, current.done+current.rejected+current.other)
		bars = append(bars, current)
	}
	fmt.Fprintf(page, `<h2>What clients got</h2><p>Requests a second, %.0f at most: <span style="color:#3d8b4f">done</span>, <span style="color:#d08a2e">rejected</span>, <span style="color:#c2392d">other answers</span></p><svg width="1110" height="%d">`, highest, height)
	for _, current := range bars {
		y := float64(height)
		for _, part := range []struct {
			n      float64
			colour string
		}{{current.done, "#7cc48a"}, {current.rejected, "#e8a75d"}, {current.other, "#dd6156"}} {
			barHeight := part.n / highest * height
			y -= barHeight
			fmt.Fprintf(page, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`, x(current.from), y,
				max(0.5, x(current.to)-x(current.from)), barHeight, part.colour)
		}
	}
	page.WriteString("</svg>")
}

// death is the death of an instance, and how it became known.
type death struct {
	instance             int
	at                   time.Time
	firstKnown, allKnown time.Duration // until the first instance knew, and until all did; below 0: not before it was back
}

// deathTimes returns for each death how it became known according to the polls, in order of time.
func (h *Harness) deathTimes() (deaths []*death) {
	open := map[int]*death{}
	for _, p := range h.polls {
		for instance, state := range p.actual {
			if state.running {
				delete(open, instance)
				continue
			}
			current := open[instance]
			if current == nil || !current.at.Equal(state.changedAt) {
				current = &death{instance: instance, at: state.changedAt, firstKnown: -1, allKnown: -1}
				open[instance] = current
				deaths = append(deaths, current)
			}
			aware, unaware := 0, 0
			for observer, view := range p.views {
				if view == nil || observer == instance {
					continue
				}
				i := slices.IndexFunc(view.Members, func(member members.KnownMember) bool { return member.Record.Address == state.address })
				if i >= 0 && view.Members[i].Record.Health < members.Failed {
					unaware++
				} else if i >= 0 {
					aware++
				}
			}
			if aware > 0 && current.firstKnown < 0 {
				current.firstKnown = p.at.Sub(state.changedAt)
			}
			if aware > 0 && unaware == 0 && current.allKnown < 0 {
				current.allKnown = p.at.Sub(state.changedAt)
			}
		}
	}
	return deaths
}

// writeDeaths writes a table of the deaths.
func (h *Harness) writeDeaths(page *bytes.Buffer) {
	deaths := h.deathTimes()
	if len(deaths) == 0 {
		return
	}
	page.WriteString("<h2>How deaths became known</h2><table><tr><th>instance</th><th>died at</th><th>known to the first after</th><th>known to all after</th></tr>")
	format := func(delay time.Duration) string {
		if delay < 0 {
			return "not while it was down"
		}
		return fmt.Sprintf("%.1f s, %.1f periods", delay.Seconds(), float64(delay)/float64(h.ProbePeriod))
	}
	for _, death := range deaths {
		fmt.Fprintf(page, "<tr><td>%s</td><td>%.1f s</td><td>%s</td><td>%s</td></tr>",
			html.EscapeString(h.processes[death.instance].name), death.at.Sub(h.scenarioStartedAt).Seconds(),
			format(death.firstKnown), format(death.allKnown))
	}
	page.WriteString("</table>")
}
