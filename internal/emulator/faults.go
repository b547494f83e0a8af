package emulator

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// The errors that the errors of Model.command wrap.
var (
	errUnknownFault  = errors.New("unknown fault")
	errFaultArgument = errors.New("invalid fault argument")
)

const (
	// expensiveShare is the share of RPCs that the fault "dear" makes expensive.
	expensiveShare = 0.1
	// noMethod is the value of faults.failingMethod if no method fails.
	noMethod = -1
)

// faults is the set of faults in force.
type faults struct {
	hangCount       int     // hang faults in force; no work is done while there are any
	slowdown        float64 // by which the time that work takes is multiplied; 1: none
	failAll         bool    // every RPC fails
	failShare       float64 // share of the RPCs that fail, picked at random
	failingMethod   int     // all RPCs of this method fail; noMethod: none
	failClientsOf   string  // the RPCs of clients that use this coordinator's tables fail; empty: none
	expensiveFactor float64 // by which the work of expensiveShare of the RPCs is multiplied; 0: none are expensive
	handshakeDelay  Seconds // from the opening of a connection until the RPCs on the connection are handled
	connLimit       int     // open connections that are accepted; 0: Config.ConnLimit
}

func noFaults() faults {
	return faults{slowdown: 1, failingMethod: noMethod}
}

// failsMethod reports whether all RPCs of a method fail.
func (f *faults) failsMethod(method int) bool {
	return f.failAll || f.failingMethod == method
}

// meanWorkFactor returns the factor by which expensive RPCs increase the mean work.
func (f *faults) meanWorkFactor() float64 {
	if f.expensiveFactor > 0 {
		return 1 - expensiveShare + expensiveShare*f.expensiveFactor
	}
	return 1
}

// drawWorkFactor draws at random whether an RPC is expensive, and returns the factor on its work.
func (m *Model) drawWorkFactor() float64 {
	if m.faults.expensiveFactor > 0 && m.random.Uniform() < expensiveShare {
		return m.faults.expensiveFactor
	}
	return 1
}

// drawFailure reports whether a fault makes an RPC fail. The failure of a share of the RPCs is drawn at random.
func (m *Model) drawFailure(method int, coordinator string) bool {
	if m.faults.failsMethod(method) {
		return true
	}
	if m.faults.failClientsOf != "" && m.faults.failClientsOf == coordinator {
		return true
	}
	return m.faults.failShare > 0 && m.random.Uniform() < m.faults.failShare
}

// argumentKind is the kind of argument that a fault takes, as named in error messages.
type argumentKind string

const (
	noArgument          argumentKind = ""
	shareArgument       argumentKind = "SHARE"
	numberArgument      argumentKind = "NUMBER"
	coordinatorArgument argumentKind = "COORDINATOR"
	factorArgument      argumentKind = "FACTOR"
	secondsArgument     argumentKind = "SECONDS"
)

// faultArgument is the argument of a fault as text and, if its kind is numeric, as a number.
type faultArgument struct {
	text   string
	number float64
}

// parse parses an argument and checks its range. Its errors wrap errFaultArgument.
func (k argumentKind) parse(text string) (faultArgument, error) {
	argument := faultArgument{text: text}
	switch k {
	case noArgument:
		if text != "" {
			return argument, fmt.Errorf("%w: want none, got %q", errFaultArgument, text)
		}
		return argument, nil
	case coordinatorArgument:
		if text == "" {
			return argument, fmt.Errorf("%w: want a %s, got none", errFaultArgument, k)
		}
		return argument, nil
	}
	var err error
	argument.number, err = strconv.ParseFloat(text, 64)
	outOfRange := !(argument.number >= 0) || math.IsInf(argument.number, 1) || k == factorArgument && argument.number <= 0
	if err != nil || outOfRange {
		return argument, fmt.Errorf("%w: want a %s, got %q", errFaultArgument, k, text)
	}
	return argument, nil
}

// faultKind is a kind of fault that commands can inject and heal.
type faultKind struct {
	name     string // in commands
	argument argumentKind
	inject   func(m *Model, argument faultArgument)
	heal     func(m *Model)
}

// faultKinds has all kinds of faults. The names are part of the syntax of the commands to a backend.
var faultKinds = []faultKind{
	{
		name: "hang", argument: noArgument,
		inject: func(m *Model, _ faultArgument) { m.setHangCount(m.faults.hangCount + 1) },
		heal:   func(m *Model) { m.setHangCount(m.faults.hangCount - 1) },
	},
	{
		name: "fast", argument: noArgument,
		inject: func(m *Model, _ faultArgument) { m.faults.failAll = true },
		heal:   func(m *Model) { m.faults.failAll = false },
	},
	{
		name: "drain", argument: noArgument,
		inject: func(m *Model, _ faultArgument) { m.Drain() },
		heal:   func(m *Model) { m.draining = false },
	},
	{
		name: "part", argument: shareArgument,
		inject: func(m *Model, argument faultArgument) { m.faults.failShare = argument.number },
		heal:   func(m *Model) { m.faults.failShare = 0 },
	},
	{
		name: "method", argument: numberArgument,
		inject: func(m *Model, argument faultArgument) { m.faults.failingMethod = int(argument.number) },
		heal:   func(m *Model) { m.faults.failingMethod = noMethod },
	},
	{
		name: "from", argument: coordinatorArgument,
		inject: func(m *Model, argument faultArgument) { m.faults.failClientsOf = argument.text },
		heal:   func(m *Model) { m.faults.failClientsOf = "" },
	},
	{
		name: "slow", argument: factorArgument,
		inject: func(m *Model, argument faultArgument) { m.setSlowdown(argument.number) },
		heal:   func(m *Model) { m.setSlowdown(1) },
	},
	{
		name: "dear", argument: factorArgument,
		inject: func(m *Model, argument faultArgument) { m.faults.expensiveFactor = argument.number },
		heal:   func(m *Model) { m.faults.expensiveFactor = 0 },
	},
	{
		name: "shake", argument: secondsArgument,
		inject: func(m *Model, argument faultArgument) { m.faults.handshakeDelay = argument.number },
		heal:   func(m *Model) { m.faults.handshakeDelay = 0 },
	},
	{
		name: "conns", argument: numberArgument,
		inject: func(m *Model, argument faultArgument) { m.faults.connLimit = int(argument.number) },
		heal:   func(m *Model) { m.faults.connLimit = 0 },
	},
}

func findFaultKind(name string) (faultKind, error) {
	for _, kind := range faultKinds {
		if kind.name == name {
			return kind, nil
		}
	}
	return faultKind{}, fmt.Errorf("%w %q", errUnknownFault, name)
}

func (m *Model) setHangCount(hangs int) {
	m.changeSpeed(func() { m.faults.hangCount = max(hangs, 0) })
}

func (m *Model) setSlowdown(factor float64) {
	m.changeSpeed(func() { m.faults.slowdown = factor })
}

// command runs an operator's command: `NAME` or `NAME ARGUMENT` injects a fault, `heal NAME` heals it, and `heal` heals all.
// Hangs are counted: `heal hang` has to be repeated for each. The error wraps errUnknownFault or errFaultArgument.
func (m *Model) command(text string) error {
	name, argumentText, _ := strings.Cut(text, " ")
	if name == "heal" {
		return m.heal(argumentText)
	}
	kind, err := findFaultKind(name)
	if err != nil {
		return err
	}
	argument, err := kind.argument.parse(argumentText)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	kind.inject(m, argument)
	return nil
}

// heal ends the fault with a name, or all faults if the name is empty. By name it ends one hang only.
func (m *Model) heal(name string) error {
	if name != "" {
		kind, err := findFaultKind(name)
		if err != nil {
			return err
		}
		kind.heal(m)
		return nil
	}
	m.faults.hangCount = min(m.faults.hangCount, 1) // the loop below heals one hang
	for _, kind := range faultKinds {
		kind.heal(m)
	}
	return nil
}
