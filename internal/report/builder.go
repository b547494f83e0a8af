package report

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gingerfork/internal/invariant"
	"gingerfork/internal/trace"
)

// How RPCs end in a trace; whatever else a trace says, the RPC was aborted.
const (
	outcomeOK       = "ok"
	outcomeRejected = "pushed back"
)

const (
	maxLatency            = 10 * time.Minute
	latencyDigits         = 3 // significant, that are kept of a latency
	microsecondsPerSecond = 1e6
	worstWindow           = 10 // seconds over which the worst service is taken
	maxBackends           = 1 << 16
)

// methodTotals are the figures of one method over the whole run.
type methodTotals struct {
	latencies     *hdrhistogram.Histogram // microseconds
	offeredWeight float64
	inTimeWeight  float64
}

// Builder computes a report from records as they come, and keeps none of them.
type Builder struct {
	Report  *Report
	methods []invariant.Method
	totals  []methodTotals // by method
	started bool
	start   float64 // the time of the first record
	length  float64 // seconds from there to the last record
}

// NewBuilder returns a builder of a report on these methods.
func NewBuilder(methods []invariant.Method) *Builder {
	builder := &Builder{Report: &Report{}, methods: methods}
	for range methods {
		histogram := hdrhistogram.New(1, int64(maxLatency/time.Microsecond), latencyDigits)
		builder.totals = append(builder.totals, methodTotals{latencies: histogram})
	}
	return builder
}

// Build returns the report on a trace whose records are in the order of time.
func Build(records []trace.Record, methods []invariant.Method) (*Report, error) {
	builder := NewBuilder(methods)
	for _, record := range records {
		if err := builder.Add(record); err != nil {
			return nil, err
		}
	}
	return builder.Finish(), nil
}

// Add adds a record. Records come roughly in the order of time. The error is that of a record of an unknown method, or of a
// latency that is out of range.
func (b *Builder) Add(record trace.Record) error {
	if !b.started {
		b.started, b.start = true, record.Time
	}
	sinceStart := record.Time - b.start
	b.length = max(b.length, sinceStart)
	second := max(0, int(sinceStart))
	for len(b.Report.Seconds) <= second {
		b.Report.Seconds = append(b.Report.Seconds, Second{})
	}
	figures := &b.Report.Seconds[second]
	switch record.Kind {
	case trace.PushSent:
		figures.Pushes++
		figures.Entries += int(record.Value)
	case trace.FaultInjected:
		b.Report.Faults = append(b.Report.Faults, Fault{From: sinceStart, To: sinceStart + record.Value, Text: record.Text})
	case trace.BackendSampled:
		b.addSample(second, record)
	case trace.ScheduleDelay:
		b.Report.ScheduleLag.Observe(record.Value)
	case trace.RPCFinished:
		return b.addRPC(figures, record)
	}
	return nil
}

func (b *Builder) addRPC(figures *Second, record trace.Record) error {
	if record.Method >= len(b.methods) {
		return fmt.Errorf("a record of method %d, of %d", record.Method, len(b.methods))
	}
	method, totals := b.methods[record.Method], &b.totals[record.Method]
	figures.OfferedWeight += method.Criticality
	totals.offeredWeight += method.Criticality
	switch record.Text {
	case outcomeOK:
		if err := totals.latencies.RecordValue(max(1, int64(record.Value*microsecondsPerSecond))); err != nil {
			return fmt.Errorf("an answer after %v s: %w", record.Value, err)
		}
		if record.Value > method.SoftDeadline {
			figures.Late++
			return nil
		}
		figures.InTime++
		figures.InTimeWeight += method.Criticality
		totals.inTimeWeight += method.Criticality
	case outcomeRejected:
		figures.Rejected++
	default:
		figures.Aborted++
	}
	return nil
}

// addSample adds the state of a backend in a second. A record that is no sample is ignored.
func (b *Builder) addSample(second int, record trace.Record) {
	if b.Report.Fleet == nil {
		b.Report.Fleet = &Fleet{SampleInterval: 1}
	}
	fleet := b.Report.Fleet
	backend := int(record.Backend) - 1
	if backend < 0 || backend >= maxBackends {
		return
	}
	utilization, err := strconv.ParseFloat(record.Text, 32)
	if err != nil {
		return
	}
	fleet.backends = max(fleet.backends, backend+1)
	fleet.set(&fleet.Capacity, second, backend, record.Value)
	fleet.set(&fleet.Utilization, second, backend, utilization)
	fleet.set(&fleet.Queued, second, backend, float64(record.Count))
}

// set stores a sample and adds rows and columns as needed.
func (f *Fleet) set(rows *[][]float32, sample, backend int, value float64) {
	for len(*rows) <= sample {
		*rows = append(*rows, make([]float32, f.backends))
	}
	row := &(*rows)[sample]
	for len(*row) <= backend {
		*row = append(*row, 0)
	}
	(*row)[backend] = float32(value)
}

// Finish computes the figures of the whole run and returns the report.
func (b *Builder) Finish() *Report {
	for i := range b.Report.Faults {
		b.Report.Faults[i].To = min(b.Report.Faults[i].To, b.length)
	}
	b.finishMethods()
	b.Report.findWorstWindow()
	return b.Report
}

func (b *Builder) finishMethods() {
	report := b.Report
	report.Latencies, report.WorstMethod, report.WorstMethodService = nil, "", math.Inf(1)
	offered, inTime := 0.0, 0.0
	for i, method := range b.methods {
		totals := b.totals[i]
		report.Latencies = append(report.Latencies, totals.latency(method.Name))
		if totals.offeredWeight > 0 && totals.inTimeWeight/totals.offeredWeight < report.WorstMethodService {
			report.WorstMethod, report.WorstMethodService = method.Name, totals.inTimeWeight/totals.offeredWeight
		}
		offered += totals.offeredWeight
		inTime += totals.inTimeWeight
	}
	report.Service = serviceShare(inTime, offered)
}

func (t methodTotals) latency(method string) Latency {
	quantile := func(percent float64) float64 {
		return float64(t.latencies.ValueAtQuantile(percent)) / microsecondsPerSecond
	}
	return Latency{
		Method: method, Count: t.latencies.TotalCount(), P50: quantile(50), P90: quantile(90), P99: quantile(99),
		Max: float64(t.latencies.Max()) / microsecondsPerSecond,
	}
}

func (r *Report) findWorstWindow() {
	r.WorstTenSeconds = 1
	for start := 0; start+worstWindow <= len(r.Seconds); start++ {
		var sum Second
		for _, second := range r.Seconds[start : start+worstWindow] {
			sum.OfferedWeight += second.OfferedWeight
			sum.InTimeWeight += second.InTimeWeight
		}
		if sum.Service() < r.WorstTenSeconds {
			r.WorstTenSeconds, r.WorstTenSecondsStart = sum.Service(), start
		}
	}
}
