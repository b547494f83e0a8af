// Command gingerfork is the control service: a coordinator, its checks and rehearsals, and small stand-ins to run it
// against.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes: the thing asked about is good, is bad, or the question was wrong.
const (
	good  = 0
	bad   = 1
	usage = 2
)

type program struct {
	LogFormat string `help:"Log lines as text or json." enum:"text,json" default:"text" placeholder:"text|json"`
	LogLevel  string `help:"The least level logged: debug, info, warn or error." enum:"debug,info,warn,error" default:"info" placeholder:"LEVEL"`

	Serve      serveCmd      `cmd:"" help:"Run a coordinator for each file until SIGTERM; SIGHUP reads the files again. Example: gingerfork serve perth.conf"`
	Node       nodeCmd       `cmd:"" help:"Run one coordinator on the operators' platform, told by NODE_NAME, NODE_LISTEN, NODE_DISCOVERY and NODE_CONFIG; SIGHUP reads the configuration again."`
	Check      checkCmd      `cmd:"" help:"Check settings files and days, and report every fault. Example: gingerfork check perth.conf evening.day"`
	Rehearse   rehearseCmd   `cmd:"" help:"Play scripted days against real coordinators and judge the rules. Example: gingerfork rehearse evening"`
	Experiment experimentCmd `cmd:"" help:"Try settings, sizes and troubles over a grid of days in virtual time."`
	Emulate    emulateCmd    `cmd:"" help:"Emulate a day's servers and list service on loopback ports, for coordinators and proxies of your own. Example: gingerfork emulate fleet"`
	Load       loadCmd       `cmd:"" help:"Ask for RPCs, open loop, through proxies that follow a coordinator or one fixed table. Example: gingerfork load --settings perth.conf --coordinator 127.0.0.1:7400 --rate 300"`
	Import     importCmd     `cmd:"" help:"Import another program's configuration. Example: gingerfork import haproxy -o imported web.cfg"`
	Route      routeCmd      `cmd:"" help:"Tell which pool a request goes to by a file of routes, and as which method. Example: gingerfork route imported/routes www GET /tasks --header host=perth.example"`
	Store      storeCmd      `cmd:"" help:"Check, dump or compact a coordinator's store."`
	Standin    standinCmd    `cmd:"" help:"Run one stand-in as a process of its own. Example: gingerfork standin server --listen 127.0.0.1:7501 --ep 1"`
	Measure    measureCmd    `cmd:"" help:"Take the figures of docs/performance.md on this machine. Example: gingerfork measure drains"`
	Settings   settingsCmd   `cmd:"" help:"Print what every keyword of the settings means. Example: gingerfork settings > docs/settings.md"`
	Version    versionCmd    `cmd:"" help:"Print the version. Example: gingerfork version"`

	out, err io.Writer
}

// badError says that the thing asked about is bad; what there is to say was said.
type badError struct{ error }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errOut io.Writer) (code int) {
	p := &program{out: out, err: errOut}
	exited := -1
	parser, err := kong.New(p, kong.Name("gingerfork"), kong.Writers(out, errOut), kong.Exit(func(c int) { exited = c }),
		kong.Description("A control service that gives plain proxies their tables, and keeps them right while servers come, go, fail and stall.\n\n"+
			"Exit codes: 0 good, 1 the thing asked about is bad, 2 wrong usage."),
		kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fmt.Fprintln(errOut, "gingerfork:", err)
		return usage
	}
	k, err := parser.Parse(args)
	if exited >= 0 {
		return exited // help was asked for
	}
	if err != nil {
		fmt.Fprintf(errOut, "gingerfork: %v (see gingerfork --help)\n", err)
		return usage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	err = k.Run(p)
	var b badError
	switch {
	case err == nil:
		return good
	case errors.As(err, &b):
		if b.error != nil {
			fmt.Fprintln(errOut, "gingerfork:", b.error)
		}
		return bad
	default:
		fmt.Fprintln(errOut, "gingerfork:", err)
		return bad
	}
}

type versionCmd struct{}

func (versionCmd) Run(p *program) error { //nolint:unparam // kong asks for the error
	version, when := revision()
	fmt.Fprintf(p.out, "gingerfork %s%s, protocol 1\n", version, when)
	return nil
}

// revision is the commit that the program was built from, and when that was made.
func revision() (version, when string) {
	version = "unreleased"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			switch s.Key {
			case "vcs.revision":
				version = s.Value[:min(12, len(s.Value))]
			case "vcs.time":
				when = " of " + s.Value
			}
		}
	}
	return version, when
}
