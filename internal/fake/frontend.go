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
	Rate         float64              // RPCs a second that clients send to it
	TrafficStart statemachine.Seconds // when the traffic shape's day begins; 0: at the first step
	Shape        traffic.Shape
	Keys         *traffic.Zipf // distribution of cache keys; nil: RPCs have none
	Policy       string        // how backends are picked: even, weight, pair or report
	// FailureLimit is the number of consecutive failures of a backend after which the front end avoids it for AvoidFor;
	// 0: it never does.
	FailureLimit        int
	AvoidDuration       statemachine.Seconds
	AttemptTimeoutRatio float64              // of an attempt that may be retried, as a share of the soft deadline
	ApplyTimePerEntry   statemachine.Seconds // that it stands still for each entry of a push
	AdmissionIsRate     bool                 // admission levels are RPCs a second instead of shares
	ReportPeriod        statemachine.Seconds
	RecordScheduleDelay bool               // it records in the trace how late it handled arrivals
	StaticTable         []proto.TableEntry // its one table if it follows no coordinator
	ConnectTimeout      statemachine.Seconds
	Seed                uint64
	// ClientRetryProbability is the chance that a client sends a failed RPC again, after about ClientRetryBackoff, which
	// doubles each time, at most ClientRetryLimit times. Non-idempotent RPCs are only sent again if they were rejected,
	// which proves that they were not executed.
	ClientRetryProbability float64
	ClientRetryBackoff     statemachine.Seconds
	ClientRetryLimit       int
}

// FrontEnd is a proxy that follows the tables of one coordinator and sends the RPCs of its clients to backends. It
// implements statemachine.Machine.
type FrontEnd struct {
	config  FrontEndConfig
	random  emulator.Random
	timers  timers
	out     *statemachine.Effects
	started bool
	conns   statemachine.Conn // the last connection that it dialed

	clients      clientTraffic
	session      session
	pausedUntil  statemachine.Seconds
	queuedInputs []statemachine.Input // that came while it was paused

	tables        map[uint64]*table
	methodTables  []*table // by method
	excluded      map[proto.BackendID]bool
	failures      map[proto.BackendID]failureRecord
	pool          connPool
	rpcs          map[uint64]*rpc // by RPC ID
	sequence      uint64          // numbers RPCs and attempts
	reportSamples reportSamples
}

// NewFrontEnd makes a front end, which connects at its first step.
func NewFrontEnd(config FrontEndConfig) *FrontEnd {
	return &FrontEnd{
		config:        config,
		random:        emulator.NewRandom(config.Seed),
		conns:         statemachine.DialedBit,
		clients:       clientTraffic{rate: config.Rate},
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

// start connects to a coordinator or takes the static table, and begins to report and to receive RPCs.
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

// processInputs handles what has come until the application of a push pauses the front end, and tells whether it did.
func (f *FrontEnd) processInputs(now statemachine.Seconds) (paused bool) {
	for {
		if now < f.pausedUntil {
			return true
		}
		f.applyPending(now)
		if len(f.queuedInputs) == 0 {
			f.queuedInputs = nil
			return false
		}
		input := f.queuedInputs[0]
		f.queuedInputs = f.queuedInputs[1:]
		f.handleInput(now, input)
	}
}

func (f *FrontEnd) handleInput(now statemachine.Seconds, input statemachine.Input) {
	if input.Kind == statemachine.OperatorCommand {
		f.handleCommand(now, input.Text)
		return
	}
	if conn := f.pool.byConn[input.Conn]; conn != nil {
		f.handleBackendInput(now, conn, input)
		return
	}
	if input.Conn == f.session.stream {
		f.handleCoordinatorInput(now, input)
	}
}

// handleCommand carries out a scenario's command: rate RPCS, still SECONDS or reset.
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
		if f.session.stream != 0 {
			f.out.Abort(f.session.stream)
			f.endSession(now, "reset by the script")
		}
	default:
		logUnknownCommand(f.out, text)
	}
}

// jitter is a random factor between 0.5 and 1.5, which keeps front ends from acting at the same moment.
func (f *FrontEnd) jitter() float64 {
	return 0.5 + f.random.Uniform()
}

// idPrefix is the upper half of the RPC IDs of one front end's run, by which IDs differ between front ends.
func (f *FrontEnd) idPrefix() uint64 {
	return DeriveSeed(0, fmt.Sprint(f.config.Name, f.config.Seed)) << 32
}
