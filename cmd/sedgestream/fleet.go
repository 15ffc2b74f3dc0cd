package main

import "os/user"

// fleetFlags name the instances that are asked about the fleet.
type fleetFlags struct {
	outputFlags
	Tier string   `type:"path" placeholder:"FILE" env:"SEDGESTREAM_TIER" help:"Tier file: its planners and seeds are asked for the members."`
	At   []string `placeholder:"ADDRESS" help:"Addresses of members to ask, in addition to those of the tier file or instead of them."`
}

// fleetShow prints the views of all members of a fleet.
type fleetShow struct {
	fleetFlags
	All bool `help:"Show every member of every view, not only what differs."`
}

func (fleetShow) Help() string {
	return "Exit 0: all that are there answer and agree; 1: some do not.\n\nExample:\n\n    sedgestream fleet show --tier deploy/tier.json"
}
func (f *fleetShow) Run() error { return f.printer().ShowFleet(f.Tier, f.At, f.All) }

// fleetLeave makes a member leave the fleet.
type fleetLeave struct {
	fleetFlags
	Name string `arg:"" help:"The member's name."`
}

func (fleetLeave) Help() string {
	return "A member that is there leaves by itself and goes on to serve alone; it counts as one that may be sending until it ends. One that has failed, or left so and ended, is called off: nobody waits for it or counts it any more.\n\nExample:\n\n    sedgestream fleet leave n17 --tier deploy/tier.json"
}
func (f *fleetLeave) Run() error {
	by := "an operator"
	if u, err := user.Current(); err == nil {
		by = u.Username
	}
	return f.printer().RemoveMember(f.Tier, f.At, f.Name, by)
}
