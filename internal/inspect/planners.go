package inspect

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"text/tabwriter"
	"time"

	"sedgestream/balance"
	"sedgestream/internal/message"
	"sedgestream/internal/tierfile"
)

// answerTimeout is how long a planner or member may take to answer.
const answerTimeout = 2 * time.Second

// ShowPlanners prints what the tier's planners, or one of them, and their forwarders believe. It returns
// ErrInvalid if a planner does not answer.
func (p *Printer) ShowPlanners(path, name string) error {
	tier, err := tierfile.Load(path)
	if err != nil {
		return p.PrintFaults(err)
	}
	var views []*message.PlannerStatus
	missing := 0
	for _, planner := range slices.Sorted(maps.Keys(tier.Planners)) {
		if name != "" && planner != name {
			continue
		}
		view, err := queryPlanner(tier.Planners[planner])
		if err != nil {
			fmt.Fprintf(p.Err, "planner %s does not answer: %v\n", planner, err)
			missing++
			continue
		}
		views = append(views, view)
	}
	if len(views) == 0 && missing == 0 {
		return fmt.Errorf("%s names no planner %q", path, name)
	}
	if p.JSON {
		if err := p.printJSON(append([]*message.PlannerStatus{}, views...)); err != nil {
			return err
		}
	} else if err := p.printPlanners(views); err != nil {
		return err
	}
	if missing > 0 {
		return ErrInvalid
	}
	return nil
}

// queryPlanner asks a planner for its state.
func queryPlanner(address string) (*message.PlannerStatus, error) {
	answer, err := sendOperatorMessage(address, &message.Frame{PlannerStatus: &message.PlannerStatus{}})
	if err == nil && answer.PlannerStatus == nil {
		err = fmt.Errorf("unexpected answer")
	}
	if err != nil {
		return nil, err
	}
	return answer.PlannerStatus, nil
}

// standings are the names of node states in tables.
var standings = map[balance.NodeState]string{balance.Active: "up", balance.Draining: "draining", balance.Removed: "gone"}

// printPlanners prints the planners side by side with one line for each node, followed by the view of each
// forwarder.
func (p *Printer) printPlanners(views []*message.PlannerStatus) error {
	writer := tabwriter.NewWriter(p.Out, 0, 8, 2, ' ', 0)
	for _, view := range views {
		fmt.Fprintf(writer, "planner %s", view.Planner)
		for _, member := range view.Members {
			fmt.Fprintf(writer, "\t%s %s (%d)", member.Record.Name, member.Record.Health, member.Record.Incarnation)
		}
		fmt.Fprintln(writer)
	}
	fmt.Fprint(writer, "\nnode")
	for _, view := range views {
		fmt.Fprintf(writer, "\t%s: standing\tgranted of pledged us\tholders", view.Planner)
	}
	fmt.Fprintln(writer)
	rowsByNode := map[string][]string{}
	for i, view := range views {
		for _, node := range view.Nodes {
			if rowsByNode[node.Notice.Node] == nil {
				rowsByNode[node.Notice.Node] = make([]string, len(views))
			}
			state := fmt.Sprintf("%s, list %d", standings[node.Notice.Standing], node.Notice.Version)
			if node.QuorumEjected {
				state += ", condemned"
			}
			if load := node.Load; load != nil {
				state += fmt.Sprintf(", %.1f trips of %d routers", load.InFlight, load.Routers)
				if load.LogStrength != 0 {
					state += fmt.Sprintf(", %.2f times as strong as listed", math.Exp(float64(load.LogStrength)))
				}
			}
			rowsByNode[node.Notice.Node][i] = fmt.Sprintf("%s\t%d of %d\t%d", state, node.Granted, node.Pledged, node.LeaseHolders)
		}
	}
	for _, node := range slices.Sorted(maps.Keys(rowsByNode)) {
		fmt.Fprint(writer, node)
		for _, cell := range rowsByNode[node] {
			if cell == "" {
				cell = "-\t\t"
			}
			fmt.Fprint(writer, "\t", cell)
		}
		fmt.Fprintln(writer)
	}
	fmt.Fprintln(writer, "\nforwarder\tto\treported\tnode\tstanding\tmay use us\tby")
	for _, view := range views {
		for _, forwarder := range view.Forwarders {
			for _, belief := range forwarder.Beliefs {
				use := "all"
				if belief.Allowance >= 0 {
					use = fmt.Sprint(belief.Allowance)
				}
				state := standings[balance.NodeState(belief.Standing)]
				if belief.Ejected {
					state += ", set aside"
				}
				fmt.Fprintf(writer, "%s\t%s\t%s ago\t%s\t%s\t%s\t%s\n", forwarder.Name, view.Planner,
					time.Duration(forwarder.Age).Round(time.Millisecond), belief.Node, state, use, dash(belief.Planner))
			}
		}
	}
	return writer.Flush()
}
