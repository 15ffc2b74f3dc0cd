// Command sedgestream runs one router: it accepts requests from clients, forwards them to the nodes of a
// replicated store, and returns the answers. Other commands run planners, check the files that routers read, and
// show the state of a fleet.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"sedgestream/internal/inspect"
	"sedgestream/internal/logwriter"
	"sedgestream/internal/service"
	"sedgestream/internal/termsfile"
)

// commandLine declares the commands and flags; kong derives their names from the field names.
type commandLine struct {
	Version kong.VersionFlag `help:"Print the version and exit."`

	Run     runCommand     `cmd:"" default:"withargs" help:"Run a router (the default command). ROUTER_CONFIG names the platform's configuration file."`
	Forward forwardCommand `cmd:"" help:"Run a router that follows planners."`
	Plan    struct {
		Run  planRun  `cmd:"" default:"withargs" help:"Run a planner (the default command of plan)."`
		Show planShow `cmd:"" help:"Show what planners and their forwarders know."`
	} `cmd:"" help:"Planners: they carry no requests, and give forwarders information and grants that need a view of the whole fleet."`
	Fleet struct {
		Show  fleetShow  `cmd:"" default:"withargs" help:"Show each instance's view of the fleet side by side (the default command of fleet)."`
		Leave fleetLeave `cmd:"" help:"Make an instance leave the fleet, or remove one that is gone for good."`
	} `cmd:"" help:"The fleet: its members, and where their views differ."`
	Check          checkCommand  `cmd:"" help:"Read the platform's configuration file as a router would, and report all faults in it."`
	Terms          termsCommands `cmd:"" help:"Terms of routes: timeouts, attempts, hedged attempts, retry budgets."`
	labCommandLine `embed:""`
	Completion     completionCommand `cmd:"" help:"Print a completion script for a shell."`
}

// termsCommands are the subcommands of terms.
type termsCommands struct {
	Check   termsCheck   `cmd:"" help:"Check a file of terms against the settings and the rules."`
	Explain termsExplain `cmd:"" help:"Show which route a request takes, why not the others, and its worst case."`
	Diff    termsDiff    `cmd:"" help:"Show which requests another file of terms would treat differently."`
	Schema  termsSchema  `cmd:"" help:"Print the JSON schema of files of terms."`
}

func (termsCommands) Help() string {
	return "Example:\n\n    sedgestream terms check deploy/terms.json --config config.json"
}

// runCommand runs a router that does not follow planners.
type runCommand struct {
	routerFlags
	Tier string `type:"path" placeholder:"FILE" env:"SEDGESTREAM_TIER" help:"Tier file; if it configures a membership, this router joins it."`
}

// routerFlags are the flags of both kinds of routers, those that follow planners and those that do not.
type routerFlags struct {
	Terms    string `type:"path" placeholder:"FILE" env:"SEDGESTREAM_TERMS" help:"File of terms; read again on SIGHUP."`
	LogLevel string `enum:"debug,info,warn,error" default:"info" env:"SEDGESTREAM_LOG_LEVEL" help:"Lowest level that is logged: ${enum}."`

	MemberListen    string `default:"127.0.0.1:0" placeholder:"ADDRESS" env:"SEDGESTREAM_MEMBER_LISTEN" help:"Address on which membership messages are received, if the tier configures a membership (${default})."`
	MemberAdvertise string `placeholder:"ADDRESS" env:"SEDGESTREAM_MEMBER_ADVERTISE" help:"Address announced to other members instead of the listen address."`
}

func (runCommand) Help() string {
	return "Example:\n\n    ROUTER_CONFIG=config.json sedgestream run --terms deploy/terms.json"
}

func (r *runCommand) Run() error { return r.serve(service.Options{TierPath: r.Tier}) }

// serve runs a router until a stop signal ends it.
func (r *routerFlags) serve(files service.Options) error {
	log, err := logwriter.NewLogger(os.Stderr, r.LogLevel)
	if err != nil {
		return err
	}
	defer log.Sync()
	signal.Ignore(syscall.SIGPIPE) // the router keeps running after the reader of its log has exited
	// Separate channels, so that a pending reload cannot displace a stop signal.
	stops, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	files.TermsPath, files.MemberListen, files.MemberAdvertise = r.Terms, r.MemberListen, r.MemberAdvertise
	return service.New(log, files, reloads).Run(stops)
}

// forwardCommand runs a router that follows planners.
type forwardCommand struct {
	routerFlags
	Tier string `required:"" type:"path" placeholder:"FILE" env:"SEDGESTREAM_TIER" help:"Tier file, which names the planners."`
}

func (forwardCommand) Help() string {
	return "Example:\n\n    ROUTER_CONFIG=config.json sedgestream forward --tier deploy/tier.json"
}
func (f *forwardCommand) Run() error {
	return f.serve(service.Options{TierPath: f.Tier, Forward: true})
}

// planRun runs a planner.
type planRun struct {
	Tier string `required:"" type:"path" placeholder:"FILE" env:"SEDGESTREAM_TIER" help:"Tier file, which names the planners."`
	Name string `required:"" help:"Name of this planner in the tier file."`

	MemberAdvertise string `placeholder:"ADDRESS" env:"SEDGESTREAM_MEMBER_ADVERTISE" help:"Address announced to other members instead of the listen address."`

	LogLevel string `enum:"debug,info,warn,error" default:"info" env:"SEDGESTREAM_LOG_LEVEL" help:"Lowest level that is logged: ${enum}."`
}

func (planRun) Help() string {
	return "Example:\n\n    sedgestream plan --tier deploy/tier.json --name p0"
}
func (p *planRun) Run() error {
	log, err := logwriter.NewLogger(os.Stderr, p.LogLevel)
	if err != nil {
		return err
	}
	defer log.Sync()
	signal.Ignore(syscall.SIGPIPE, syscall.SIGHUP) // a planner reloads nothing, and a SIGHUP that is sent to the whole fleet must not end it
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	return service.RunPlanner(log, p.Tier, p.Name, p.MemberAdvertise, stops)
}

// planShow prints the state of planners and their forwarders.
type planShow struct {
	outputFlags
	Tier string `required:"" type:"path" placeholder:"FILE" env:"SEDGESTREAM_TIER" help:"Tier file, which names the planners."`
	Name string `help:"Name of the planner to ask; all if absent."`
}

func (planShow) Help() string  { return "Example:\n\n    sedgestream plan show --tier deploy/tier.json" }
func (p *planShow) Run() error { return p.printer().ShowPlanners(p.Tier, p.Name) }

// outputFlags select the format of a command's output.
type outputFlags struct {
	JSON bool `name:"json" help:"Print JSON."`
}

// printer returns the printer of the command's answer.
func (f outputFlags) printer() *inspect.Printer {
	return &inspect.Printer{Out: os.Stdout, Err: os.Stderr, JSON: f.JSON, Env: os.Getenv}
}

// checkCommand checks a configuration file.
type checkCommand struct {
	outputFlags
	File string `arg:"" name:"config" help:"The platform's configuration file."`
}

func (checkCommand) Help() string {
	return "Faults go to standard error as file:line:column: reason. Exit 0: a router would start; 1: it would not.\n\nExample:\n\n    sedgestream check config.json"
}
func (c *checkCommand) Run() error { return c.printer().CheckConfig(c.File) }

// configFlag names the configuration that terms are checked against.
type configFlag struct {
	Config string `required:"" env:"ROUTER_CONFIG" placeholder:"CONFIG" help:"The platform's configuration file, which has the settings."`
}

// termsCheck checks a file of terms.
type termsCheck struct {
	outputFlags
	configFlag
	File string `arg:"" help:"File of terms."`
}

func (termsCheck) Help() string {
	return "Exit 0: routers would take the file; 1: they would not, and standard error says why.\n\nExample:\n\n    sedgestream terms check deploy/terms.json --config config.json"
}
func (c *termsCheck) Run() error { return c.printer().CheckTerms(c.File, c.Config) }

// termsExplain prints the route that a request takes, and why.
type termsExplain struct {
	outputFlags
	configFlag
	File    string    `arg:"" help:"File of terms."`
	Tariff  string    `required:"" help:"The request's class, called tariff in files of terms."`
	Group   int64     `required:"" help:"The request's group, as clients name it."`
	Key     string    `default:"0" help:"Key of the request's object."`
	Session bool      `help:"The request carries its session's last commit."`
	Again   bool      `help:"The client marks the request as a retry."`
	At      time.Time `help:"Time of arrival (RFC 3339); now if absent."`
}

func (termsExplain) Help() string {
	return "Example:\n\n    sedgestream terms explain deploy/terms.json --config config.json --tariff submit-reading --group 2"
}
func (c *termsExplain) Run() error {
	if c.At.IsZero() {
		c.At = time.Now()
	}
	return c.printer().Explain(c.File, c.Config, inspect.RequestQuery{Class: c.Tariff, Group: c.Group, Key: c.Key, Session: c.Session,
		ClientRetry: c.Again, Time: c.At})
}

// termsDiff prints which requests two files of terms treat differently.
type termsDiff struct {
	outputFlags
	configFlag
	Before string `arg:"" help:"File of terms in use."`
	After  string `arg:"" help:"File of terms to compare."`
}

func (termsDiff) Help() string {
	return "Example:\n\n    sedgestream terms diff deploy/terms.json new.json --config config.json"
}
func (c *termsDiff) Run() error { return c.printer().DiffTerms(c.Before, c.After, c.Config) }

// termsSchema prints the JSON schema of files of terms.
type termsSchema struct{}

func (termsSchema) Help() string {
	return "Example:\n\n    sedgestream terms schema > terms.schema.json"
}
func (termsSchema) Run() error {
	_, err := os.Stdout.Write(termsfile.SchemaText)
	return err
}

// Exit codes.
const (
	exitFailure = 1 // a check found faults, or the command failed
	exitUsage   = 2
)

func main() {
	var line commandLine
	parser := kong.Must(&line, kong.Name("sedgestream"), kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Description("A router that steers reads and writes in a replicated store.\n\nExample:\n\n    ROUTER_CONFIG=config.json sedgestream"),
		kong.Vars{"version": version()})
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "sedgestream: %v (see sedgestream --help)\n", err)
		os.Exit(exitUsage)
	}
	if err = ctx.Run(); err != nil {
		var exitError *service.ExitError
		if errors.As(err, &exitError) {
			os.Exit(exitError.Status())
		}
		if !errors.Is(err, inspect.ErrInvalid) {
			fmt.Fprintln(os.Stderr, "sedgestream:", err)
		}
		os.Exit(exitFailure)
	}
}

// version returns the program's version, or the revision that it was built from, and the Go version.
func version() string {
	if b, ok := debug.ReadBuildInfo(); ok {
		release := b.Main.Version
		for _, s := range b.Settings {
			if s.Key == "vcs.revision" && len(s.Value) >= 12 && (release == "" || release == "(devel)") {
				release = s.Value[:12]
			}
		}
		return "sedgestream " + release + " " + b.GoVersion
	}
	return "sedgestream"
}
