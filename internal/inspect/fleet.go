package inspect

import (
	"cmp"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"sedgestream/internal/decide/members"
	"sedgestream/internal/message"
	"sedgestream/internal/tierfile"
)

// maxConcurrentQueries bounds how many members are queried at a time.
const maxConcurrentQueries = 32

// FleetReport is the state of the whole fleet as its members see it.
type FleetReport struct {
	Views       []*message.FleetStatus `json:"views"`
	Unreachable []UnreachableMember    `json:"silent,omitempty"` // seeds, planners and members that others believe to be alive
	Differences []ViewDifference       `json:"differ,omitempty"`
}

// UnreachableMember is a member that did not answer a query.
type UnreachableMember struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Reason  string `json:"why"`
}

// ViewDifference is a member's view that differs from the one of the majority.
type ViewDifference struct {
	Name    string   `json:"name"`   // of the member
	Number  uint64   `json:"number"` // of its view
	Digest  string   `json:"digest"`
	Missing []string `json:"lacks,omitempty"`  // members that only the majority has
	Extra   []string `json:"beside,omitempty"` // members that only this view has
	Health  []string `json:"health,omitempty"` // members whose health it sees differently, and since when
}

// queryFleet queries the given addresses and those in the tier file, and then every member that an answer lists as alive
// or suspected.
func (p *Printer) queryFleet(path string, addresses []string) (*FleetReport, error) {
	pending := map[string]string{} // names by address
	for _, address := range addresses {
		pending[address] = ""
	}
	if path != "" {
		tier, err := tierfile.Load(path)
		if err != nil {
			return nil, p.PrintFaults(err)
		}
		for _, address := range tier.Seeds {
			pending[address] = ""
		}
		for name, address := range tier.Planners {
			pending[address] = name
		}
	}
	if len(pending) == 0 {
		return nil, fmt.Errorf("neither a tier nor an address is given")
	}
	report, asked := &FleetReport{}, map[string]bool{}
	var mu sync.Mutex
	for len(pending) > 0 {
		batch := pending
		pending = map[string]string{}
		slots := make(chan struct{}, maxConcurrentQueries)
		var wait sync.WaitGroup
		for address, name := range batch {
			asked[address] = true
			wait.Add(1)
			slots <- struct{}{}
			go func() {
				defer func() { <-slots; wait.Done() }()
				answer, err := sendOperatorMessage(address, &message.Frame{FleetStatus: &message.FleetStatus{}})
				mu.Lock()
				defer mu.Unlock()
				if err == nil && answer.FleetStatus == nil {
					err = fmt.Errorf("unexpected answer")
				}
				if err != nil {
					report.Unreachable = append(report.Unreachable, UnreachableMember{name, address, err.Error()})
					return
				}
				report.Views = append(report.Views, answer.FleetStatus)
			}()
		}
		wait.Wait()
		for _, view := range report.Views {
			asked[view.Self.Address] = true
		}
		for _, view := range report.Views {
			for _, known := range view.Members {
				if known.Record.Health < members.Failed && !asked[known.Record.Address] {
					pending[known.Record.Address] = known.Record.Name
				}
			}
		}
	}
	slices.SortFunc(report.Views, func(a, b *message.FleetStatus) int {
		return cmp.Or(cmp.Compare(a.Self.Name, b.Self.Name), cmp.Compare(a.Self.RunID, b.Self.RunID))
	})
	report.Views = slices.CompactFunc(report.Views, func(a, b *message.FleetStatus) bool { return a.Self.RunID == b.Self.RunID })
	slices.SortFunc(report.Unreachable, func(a, b UnreachableMember) int { return cmp.Compare(a.Address, b.Address) })
	report.findDifferences()
	return report, nil
}

// sendOperatorMessage connects as an operator, sends one frame and returns the answer.
func sendOperatorMessage(address string, request *message.Frame) (*message.Frame, error) {
	socket, err := net.DialTimeout("tcp", address, answerTimeout)
	if err != nil {
		return nil, err
	}
	defer socket.Close()
	conn := message.NewConn(socket)
	for _, frame := range []*message.Frame{{Hello: &message.Hello{Version: message.Version, Kind: message.Operator}}, request} {
		if err := conn.Write(frame, answerTimeout); err != nil {
			return nil, err
		}
	}
	for {
		switch frame, err := conn.Read(answerTimeout); {
		case err != nil:
			return nil, err
		case frame.CloseReason != "":
			return nil, fmt.Errorf("%s", frame.CloseReason)
		case frame.Hello == nil:
			return frame, nil
		}
	}
}

// findDifferences finds the views that differ from the most frequent one.
func (r *FleetReport) findDifferences() {
	count := map[uint64]int{}
	var majority *message.FleetStatus
	for _, view := range r.Views {
		if count[view.View.Digest]++; majority == nil || count[view.View.Digest] > count[majority.View.Digest] {
			majority = view
		}
	}
	if majority == nil {
		return
	}
	majorityMembers, majorityHealth := map[members.Member]bool{}, map[string]members.KnownMember{}
	for _, member := range majority.View.Members {
		majorityMembers[member] = true
	}
	for _, state := range majority.Members {
		majorityHealth[state.Record.Name] = state
	}
	for _, view := range r.Views {
		if view.View.Digest == majority.View.Digest {
			continue
		}
		difference := ViewDifference{Name: view.Self.Name, Number: view.View.Number, Digest: fmt.Sprintf("%016x", view.View.Digest)}
		missing := maps.Clone(majorityMembers)
		for _, member := range view.View.Members {
			if !majorityMembers[member] {
				difference.Extra = append(difference.Extra, member.Name)
			}
			delete(missing, member)
		}
		for member := range missing {
			difference.Missing = append(difference.Missing, member.Name)
		}
		slices.Sort(difference.Missing)
		for _, state := range view.Members {
			if expected, found := majorityHealth[state.Record.Name]; !found || expected.Record.Health != state.Record.Health {
				was := "unknown"
				if found {
					was = expected.Record.Health.String()
				}
				difference.Health = append(difference.Health, fmt.Sprintf("%s %s for %v (%s to the majority)",
					state.Record.Name, state.Record.Health, time.Duration(state.StateAge).Round(time.Millisecond), was))
			}
		}
		r.Differences = append(r.Differences, difference)
	}
}

// ShowFleet prints the views of all members side by side, and how views differ from the majority's. It
// returns ErrInvalid if any view differs or a member does not answer.
func (p *Printer) ShowFleet(path string, addresses []string, all bool) error {
	report, err := p.queryFleet(path, addresses)
	if err != nil {
		return err
	}
	if p.JSON {
		err = p.printJSON(report)
	} else {
		err = p.printFleet(report, all)
	}
	if err == nil && (len(report.Unreachable) > 0 || len(report.Differences) > 0) {
		return ErrInvalid
	}
	return err
}

// printFleet prints a report as tables; all adds what each member knows of each other one.
func (p *Printer) printFleet(report *FleetReport, all bool) error {
	writer := tabwriter.NewWriter(p.Out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(writer, "member\tkind\tzone\taddress\tview\tdigest\tmembers\tmay send\tsituation\tstrain\tsuspects\tfailed\tleft")
	for _, view := range report.Views {
		var counts [members.Left + 1]int
		for _, known := range view.Members {
			counts[min(known.Record.Health, members.Left)]++
		}
		fmt.Fprintf(writer, "%s (%d)\t%s\t%s\t%s\t%d\t%016x\t%d\t%d\t%s\t%d\t%d\t%d\t%d\n",
			view.Self.Name, view.Self.Incarnation, view.Self.Kind, dash(view.Self.Zone),
			view.Self.Address, view.View.Number, view.View.Digest, len(view.View.Members),
			view.Permissions.Senders, view.Permissions.Situation, view.HealthScore,
			counts[members.Suspect], counts[members.Failed], counts[members.Left])
	}
	for _, member := range report.Unreachable {
		fmt.Fprintf(writer, "%s\t-\t-\t%s\tdoes not answer: %s\n", dash(member.Name), member.Address, member.Reason)
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	for _, difference := range report.Differences {
		fmt.Fprintf(p.Out, "\n%s differs from the majority: view %d, digest %s\n", difference.Name, difference.Number, difference.Digest)
		for _, list := range []struct {
			label   string
			entries []string
		}{{"lacks", difference.Missing}, {"has in addition", difference.Extra}, {"believes", difference.Health}} {
			if len(list.entries) > 0 {
				fmt.Fprintf(p.Out, "  %s: %s\n", list.label, strings.Join(list.entries, ", "))
			}
		}
	}
	for _, view := range report.Views {
		if view.Omitted > 0 {
			fmt.Fprintf(p.Out, "\n%s knows of %d more than it tells\n", view.Self.Name, view.Omitted)
		}
		if view.Conflict != nil {
			fmt.Fprintf(p.Out, "\n%s has heard of another view %d by %s, first %v ago\n",
				view.Self.Name, view.Conflict.Number, view.Conflict.Reporter, time.Duration(view.Conflict.FirstSeen).Round(time.Millisecond))
		}
	}
	if !all {
		return nil
	}
	writer = tabwriter.NewWriter(p.Out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(writer, "\nby\tmember\thealth\tfor\theard\tvia\taccused by")
	for _, view := range report.Views {
		for _, known := range view.Members {
			lastHeard := "never"
			if known.HeardAgo >= 0 {
				lastHeard = fmt.Sprint(time.Duration(known.HeardAgo).Round(time.Millisecond), " ago")
			}
			fmt.Fprintf(writer, "%s\t%s (%d)\t%s\t%v\t%s\t%s\t%s\n",
				view.Self.Name, known.Record.Name, known.Record.Incarnation, known.Record.Health,
				time.Duration(known.StateAge).Round(time.Millisecond), lastHeard, dash(known.Via), dash(known.Record.By))
		}
	}
	return writer.Flush()
}

// RemoveMember asks a member to leave the fleet. If that fails, the members that know it are asked in turn to declare that
// it has left, until one does. by is the operator's name.
func (p *Printer) RemoveMember(path string, addresses []string, name, by string) error {
	report, err := p.queryFleet(path, addresses)
	if err != nil {
		return err
	}
	request := &message.Frame{Removal: &message.Removal{Name: name, By: by}}
	var lastErr error
	for _, view := range report.Views { // the member itself first
		if view.Self.Name != name {
			continue
		}
		answer, err := sendOperatorMessage(view.Self.Address, request)
		if err == nil && answer.Removal != nil && answer.Removal.Done {
			fmt.Fprintf(p.Out, "%s leaves\n", name)
			return nil
		}
		lastErr = err
	}
	for _, view := range report.Views {
		if !slices.ContainsFunc(view.Members, func(known members.KnownMember) bool { return known.Record.Name == name }) {
			continue
		}
		answer, err := sendOperatorMessage(view.Self.Address, request)
		switch {
		case err != nil:
			lastErr = err
		case answer.Removal == nil:
			lastErr = fmt.Errorf("%s: unexpected answer", view.Self.Name)
		case answer.Removal.Done:
			fmt.Fprintf(p.Out, "%s is called off; %s tells the others\n", name, view.Self.Name)
			return nil
		default:
			lastErr = fmt.Errorf("%s: %s", view.Self.Name, answer.Removal.Reason)
		}
	}
	if lastErr == nil {
		lastErr = fmt.Errorf("nobody knows a member %q", name)
	}
	return lastErr
}
