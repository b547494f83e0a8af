package fake

import (
	"fmt"
	"strconv"
	"strings"

	"gingerfork/internal/emulator"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/traffic"
)

// FrontEndConfig configures a fake front end.
type FrontEndConfig struct {
	Name         string
	Zone         string
	Coordinators []string // addresses, tried in this order
	Methods      []MethodConfig
	Rate         float64              // RPCs per second that clients send to the front end
	TrafficStart statemachine.Seconds // start of the traffic shape's first day; 0: at the first step
	Shape        traffic.Shape        // how the rate changes over time
	Keys         *traffic.Zipf        // distribution of cache keys; nil: RPCs have none
	// Policy tells how backends are picked: even (round robin by weight), pair or report; with any other name, such as lottery,
	// at random by weight.
	Policy string
	// FailureLimit is the number of consecutive failures of a backend after which the front end avoids that backend for
	// AvoidDuration; 0: no backend is avoided.
	FailureLimit        int
	AvoidDuration       statemachine.Seconds
	AttemptTimeoutRatio float64              // timeout of an attempt that may be retried, as a multiple of the method's soft deadline
	ApplyTimePerEntry   statemachine.Seconds // time for which the front end pauses to apply a push, for each entry of the push
	AdmissionIsRate     bool                 // admission levels are RPCs per second instead of shares
	ReportPeriod        statemachine.Seconds
	RecordScheduleDelay bool               // write to the trace how late the front end handled arrivals
	StaticTable         []proto.TableEntry // the front end's only table if it follows no coordinator; nil: it follows one
	ConnectTimeout      statemachine.Seconds
	Seed                uint64
	// ClientRetryProbability is the probability that a client sends a failed RPC again, at most ClientRetryLimit times. The client
	// waits for about ClientRetryBackoff, which doubles with each retry. Non-idempotent RPCs are only sent again if they were
	// rejected, which proves that they were not executed.
	ClientRetryProbability float64
	ClientRetryBackoff     statemachine.Seconds
	ClientRetryLimit       int
}

// FrontEnd is a proxy that follows the tables of one coordinator and sends the RPCs of its clients to backends. It
// implements statemachine.Machine.
type FrontEnd struct {
	config     FrontEndConfig
	random     emulator.Random
	timers     timers
	out        *statemachine.Effects
	started    bool
	lastDialed statemachine.Conn // number of the last connection that the front end dialed

	clientTraffic clientTraffic
	session       session
	pausedUntil   statemachine.Seconds
	queuedInputs  []statemachine.Input // received and not handled yet, for example during a pause

	tables        map[uint64]*table        // by table number
	methodTables  []*table                 // the table that each method uses; nil: none yet
	excluded      map[proto.BackendID]bool // backends that get no attempts, whatever the tables say
	failures      map[proto.BackendID]failureRecord
	pool          connPool
	rpcs          map[uint64]*rpc // unfinished RPCs by ID
	sequence      uint64          // last number that was given to an RPC or attempt
	reportSamples reportSamples
}

// NewFrontEnd returns a front end. It connects to a coordinator in its first step.
func NewFrontEnd(config FrontEndConfig) *FrontEnd {
	return &FrontEnd{
		config:        config,
		random:        emulator.NewRandom(config.Seed),
		lastDialed:    statemachine.DialedBit,
		clientTraffic: clientTraffic{rate: config.Rate},
		tables:        map[uint64]*table{},
		methodTables:  make([]*table, len(config.Methods)),
		excluded:      map[proto.BackendID]bool{},
		failures:      map[proto.BackendID]failureRecord{},
		pool:          connPool{byBackend: map[proto.BackendID]*backendConn{}, byConn: map[statemachine.Conn]*backendConn{}},
		rpcs:          map[uint64]*rpc{},
		reportSamples: newReportSamples(len(config.Methods)),
	}
}

// Step implements statemachine.Machine.
func (f *FrontEnd) Step(now statemachine.Seconds, inputs []statemachine.Input, out *statemachine.Effects) {
	f.out = out
	if !f.started {
		f.started = true
		f.start(now)
	}
	f.queuedInputs = append(f.queuedInputs, inputs...)
	if paused := f.processInputs(now); paused {
		out.WakeBy(f.pausedUntil)
		return
	}
	f.timers.runDue(now)
	f.timers.requestWakeup(out)
	if f.pausedUntil > now {
		out.WakeBy(f.pausedUntil)
	}
}

// start dials a coordinator or applies the static table, and starts the reports and the clients' traffic.
func (f *FrontEnd) start(now statemachine.Seconds) {
	f.reportSamples.since = now
	if f.config.StaticTable == nil {
		f.dialCoordinator(now)
	} else {
		f.applyOp(proto.TableOp{Kind: proto.OpBind, Entries: f.config.StaticTable}, &strings.Builder{})
	}
	f.timers.schedule(now+f.config.ReportPeriod*f.jitter(), f.report)
	f.startTraffic(now)
}

// processInputs handles the queued inputs until there are none left or the front end is paused, for example by the application of a
// push. It reports whether the front end is paused.
func (f *FrontEnd) processInputs(now statemachine.Seconds) (paused bool) {
	for {
		if now < f.pausedUntil {
			return true
		}
		f.applyPendingPushes(now)
		if len(f.queuedInputs) == 0 {
			f.queuedInputs = nil
			return false
		}
		input := f.queuedInputs[0]
		f.queuedInputs = f.queuedInputs[1:]
		f.handleInput(now, input)
	}
}

// handleInput handles a command, or an input on the connection to a backend or to the coordinator.
func (f *FrontEnd) handleInput(now statemachine.Seconds, input statemachine.Input) {
	if input.Kind == statemachine.OperatorCommand {
		f.handleCommand(now, input.Text)
		return
	}
	if conn := f.pool.byConn[input.Conn]; conn != nil {
		f.handleBackendInput(now, conn, input)
		return
	}
	if input.Conn == f.session.conn {
		f.handleCoordinatorInput(now, input)
	}
}

// handleCommand executes a scenario's command: "rate RPCS" sets the clients' rate, "still SECONDS" pauses the front end and
// "reset" resets the connection to the coordinator.
func (f *FrontEnd) handleCommand(now statemachine.Seconds, text string) {
	command, argument, _ := strings.Cut(text, " ")
	value, err := strconv.ParseFloat(argument, 64)
	if err != nil {
		value = 0 // reset takes no number
	}
	switch command {
	case "rate":
		f.setRate(now, value)
	case "still":
		f.pausedUntil = max(f.pausedUntil, now+value)
	case "reset":
		if f.session.conn != 0 {
			f.out.Abort(f.session.conn)
			f.endSession(now, "reset by the script")
		}
	default:
		logUnknownCommand(f.out, text)
	}
}

// jitter returns a random factor between 0.5 and 1.5. It keeps front ends from acting at the same time.
func (f *FrontEnd) jitter() float64 {
	return 0.5 + f.random.Uniform()
}

// idPrefix returns the upper 32 bits of the front end's RPC IDs, which differ between front ends.
func (f *FrontEnd) idPrefix() uint64 {
	return DeriveSeed(0, fmt.Sprint(f.config.Name, f.config.Seed)) << 32
}
