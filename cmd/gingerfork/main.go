// Command gingerfork runs coordinators, which tell proxies how to spread their load over backends. It also checks settings,
// plays scenarios against coordinators, and runs fakes of the systems around them.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes of the process.
const (
	exitOK      = 0
	exitFailure = 1 // the command failed, or what it checked is invalid
	exitUsage   = 2 // the command line is invalid
)

const description = "A coordinator that pushes backend tables to proxies, and updates the tables as backends join, leave, fail and stall.\n\n" +
	"Exit codes: 0 success, 1 the command failed or what it checked is invalid, 2 invalid command line."

// program defines the command line for kong. Hidden commands and aliases of flags are earlier names, which scripts still use.
type program struct {
	LogFormat string `help:"Format of log lines: text or json." enum:"text,json" default:"text" placeholder:"text|json"`
	LogLevel  string `help:"Lowest level that is logged: debug, info, warn or error." enum:"debug,info,warn,error" default:"info" placeholder:"LEVEL"`

	Serve      serveCmd      `cmd:"" help:"Run a coordinator for each settings file until SIGTERM; SIGHUP reads the files again. Example: gingerfork serve perth.conf"`
	Node       nodeCmd       `cmd:"" help:"Run one coordinator on the operators' platform, configured by NODE_NAME, NODE_LISTEN, NODE_DISCOVERY and NODE_CONFIG; SIGHUP reads the configuration again."`
	Check      checkCmd      `cmd:"" help:"Check settings files, scenarios and routes, and report every error. Example: gingerfork check perth.conf evening.day"`
	Scenario   scenarioCmd   `cmd:"" help:"Play scenarios against real coordinators and check the invariants. Example: gingerfork scenario evening"`
	Experiment experimentCmd `cmd:"" help:"Compare settings, fleet sizes and faults over a grid of scenarios in virtual time."`
	Emulate    emulateCmd    `cmd:"" help:"Emulate a scenario's backends and endpoint service on loopback ports, for coordinators and proxies that run separately. Example: gingerfork emulate fleet"`
	Load       loadCmd       `cmd:"" help:"Send RPCs in an open loop through proxies that subscribe to a coordinator or use one static table. Example: gingerfork load --settings perth.conf --coordinator 127.0.0.1:7400 --rate 300"`
	Import     importCmd     `cmd:"" help:"Import another program's configuration. Example: gingerfork import haproxy -o imported web.cfg"`
	Route      routeCmd      `cmd:"" help:"Print the pool and the method that a file of routes gives to a request. Example: gingerfork route imported/routes www GET /tasks --header host=perth.example"`
	Store      storeCmd      `cmd:"" help:"Check, dump or compact a coordinator's store."`
	Fake       fakeCmd       `cmd:"" help:"Run a fake proxy, backend or endpoint service. Example: gingerfork fake backend --listen 127.0.0.1:7501 --id 1"`
	Measure    measureCmd    `cmd:"" help:"Take the measurements of docs/performance.md on this machine. Example: gingerfork measure drains"`
	Settings   settingsCmd   `cmd:"" help:"Print the reference of all settings keywords. Example: gingerfork settings > docs/settings.md"`
	Version    versionCmd    `cmd:"" help:"Print the version. Example: gingerfork version"`

	OldScenario scenarioCmd `cmd:"" hidden:"" name:"rehearse"`
	OldFake     fakeCmd     `cmd:"" hidden:"" name:"standin"`

	out, err io.Writer
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run parses and executes a command line, and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	cli := &program{out: out, err: errOut}
	helpExit := -1 // exit code that kong requests after it has printed the help; -1: none
	parser, err := newParser(cli, func(code int) { helpExit = code })
	if err != nil {
		fmt.Fprintln(errOut, "gingerfork:", err)
		return exitUsage
	}
	command, err := parser.Parse(args)
	if helpExit >= 0 {
		return helpExit
	}
	if err != nil {
		fmt.Fprintf(errOut, "gingerfork: %v (see gingerfork --help)\n", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	command.BindTo(ctx, (*context.Context)(nil))
	if err := command.Run(cli); err != nil {
		fmt.Fprintln(errOut, "gingerfork:", err)
		return exitFailure
	}
	return exitOK
}

// newParser returns a parser that fills cli. It calls exit after it has printed the help.
func newParser(cli *program, exit func(code int)) (*kong.Kong, error) {
	return kong.New(cli, kong.Name("gingerfork"), kong.Writers(cli.out, cli.err), kong.Exit(exit),
		kong.Description(description), kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
}
