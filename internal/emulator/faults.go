package emulator

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// The errors that commands wrap.
var (
	errUnknownFault  = errors.New("unknown fault")
	errFaultArgument = errors.New("invalid argument of a fault")
)

const (
	// expensiveShare is the share of RPCs that the fault dear makes expensive.
	expensiveShare = 0.1
	// noMethod is the failing method if none is.
	noMethod = -1
)

// faults are the faults in force.
type faults struct {
	hangs           int     // reasons why no work proceeds
	slowdown        float64 // factor on the time that work needs
	failAll         bool
	failShare       float64
	failMethod      int     // noMethod: none
	failCoordinator string  // RPCs of the clients that follow it fail; empty: none
	expensiveFactor float64 // by which some RPCs' work is more; 0: no fault
	handshakeDelay  Seconds
	connLimit       int // 0: as configured
}

func noFaults() faults {
	return faults{slowdown: 1, failMethod: noMethod}
}

// failsMethod tells whether every RPC of a method fails.
func (f *faults) failsMethod(method int) bool {
	return f.failAll || f.failMethod == method
}

// meanCost is the factor by which the mean work of RPCs is more.
func (f *faults) meanCost() float64 {
	if f.expensiveFactor > 0 {
		return 1 - expensiveShare + expensiveShare*f.expensiveFactor
	}
	return 1
}

// drawCostFactor draws the factor by which an RPC's work is more.
func (m *Model) drawCostFactor() float64 {
	if m.faults.expensiveFactor > 0 && m.random.Uniform() < expensiveShare {
		return m.faults.expensiveFactor
	}
	return 1
}

// drawFailure tells whether a fault makes an RPC fail.
func (m *Model) drawFailure(method int, coordinator string) bool {
	if m.faults.failsMethod(method) {
		return true
	}
	if m.faults.failCoordinator != "" && m.faults.failCoordinator == coordinator {
		return true
	}
	return m.faults.failShare > 0 && m.random.Uniform() < m.faults.failShare
}

// argumentKind is what a fault takes as its argument, as error texts call it.
type argumentKind string

const (
	noArgument          argumentKind = ""
	shareArgument       argumentKind = "SHARE"
	numberArgument      argumentKind = "NUMBER"
	coordinatorArgument argumentKind = "COORDINATOR"
	factorArgument      argumentKind = "FACTOR"
	secondsArgument     argumentKind = "SECONDS"
)

// faultArgument is a fault's argument as text and, if the kind is one of numbers, as a number.
type faultArgument struct {
	text   string
	number float64
}

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
			return argument, fmt.Errorf("%w: want a %s, got nothing", errFaultArgument, k)
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

// faultKind is a fault that a command can inject and heal.
type faultKind struct {
	name     string // in commands
	argument argumentKind
	inject   func(m *Model, argument faultArgument)
	heal     func(m *Model)
}

var faultKinds = []faultKind{
	{
		name: "hang", argument: noArgument,
		inject: func(m *Model, _ faultArgument) { m.setHangs(m.faults.hangs + 1) },
		heal:   func(m *Model) { m.setHangs(m.faults.hangs - 1) },
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
		inject: func(m *Model, argument faultArgument) { m.faults.failMethod = int(argument.number) },
		heal:   func(m *Model) { m.faults.failMethod = noMethod },
	},
	{
		name: "from", argument: coordinatorArgument,
		inject: func(m *Model, argument faultArgument) { m.faults.failCoordinator = argument.text },
		heal:   func(m *Model) { m.faults.failCoordinator = "" },
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

func faultNamed(name string) (faultKind, error) {
	for _, kind := range faultKinds {
		if kind.name == name {
			return kind, nil
		}
	}
	return faultKind{}, fmt.Errorf("%w %q", errUnknownFault, name)
}

func (m *Model) setHangs(hangs int) {
	m.changePace(func() { m.faults.hangs = max(hangs, 0) })
}

func (m *Model) setSlowdown(factor float64) {
	m.changePace(func() { m.faults.slowdown = factor })
}

// command injects a fault, or heals one (`heal NAME`) or all (`heal`). Hangs add up: each has to be healed. Its errors wrap
// errUnknownFault or errFaultArgument.
func (m *Model) command(text string) error {
	name, argumentText, _ := strings.Cut(text, " ")
	if name == "heal" {
		return m.heal(argumentText)
	}
	kind, err := faultNamed(name)
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

// heal ends a fault, of hangs the last one, or all faults if the name is empty.
func (m *Model) heal(name string) error {
	if name != "" {
		kind, err := faultNamed(name)
		if err != nil {
			return err
		}
		kind.heal(m)
		return nil
	}
	m.faults.hangs = min(m.faults.hangs, 1) // all hangs are healed, however many there are
	for _, kind := range faultKinds {
		kind.heal(m)
	}
	return nil
}
