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

// Texts of trace.RPCFinished records. An RPC with any other text was aborted.
const (
	outcomeOK       = "ok"
	outcomeRejected = "pushed back"
)

const (
	maxLatency               = 10 * time.Minute
	latencySignificantDigits = 3 // precision of recorded latencies, in decimal digits
	microsecondsPerSecond    = 1e6
	worstWindowSeconds       = 10      // length of the window for which the lowest service is reported
	maxBackends              = 1 << 16 // samples of backends with larger IDs are ignored
)

// methodTotals has the totals of one method over the whole run.
type methodTotals struct {
	latencies     *hdrhistogram.Histogram // latencies of the answered RPCs, in microseconds
	offeredWeight float64                 // total criticality of all RPCs that ended
	inTimeWeight  float64                 // total criticality of the RPCs answered within the soft deadline
}

// Builder computes a report incrementally from trace records, without keeping the records.
type Builder struct {
	Report   *Report
	methods  []invariant.Method
	totals   []methodTotals // by method
	started  bool
	start    float64 // time of the first record
	duration float64 // seconds from start to the last record
}

// NewBuilder returns a Builder for records that refer to methods by index.
func NewBuilder(methods []invariant.Method) *Builder {
	builder := &Builder{Report: &Report{}, methods: methods}
	for range methods {
		histogram := hdrhistogram.New(1, int64(maxLatency/time.Microsecond), latencySignificantDigits)
		builder.totals = append(builder.totals, methodTotals{latencies: histogram})
	}
	return builder
}

// Build returns the report on a trace whose records are ordered by time.
func Build(records []trace.Record, methods []invariant.Method) (*Report, error) {
	builder := NewBuilder(methods)
	for _, record := range records {
		if err := builder.Add(record); err != nil {
			return nil, err
		}
	}
	return builder.Finish(), nil
}

// Add adds a record. Records must be roughly ordered by time. It returns an error if the method is unknown or the latency is out of
// range.
func (b *Builder) Add(record trace.Record) error {
	if !b.started {
		b.started, b.start = true, record.Time
	}
	sinceStart := record.Time - b.start
	b.duration = max(b.duration, sinceStart)
	second := max(0, int(sinceStart))
	for len(b.Report.Seconds) <= second {
		b.Report.Seconds = append(b.Report.Seconds, Second{})
	}
	bucket := &b.Report.Seconds[second]
	switch record.Kind {
	case trace.PushSent:
		bucket.Pushes++
		bucket.Entries += int(record.Value)
	case trace.FaultInjected:
		b.Report.Faults = append(b.Report.Faults, Fault{From: sinceStart, To: sinceStart + record.Value, Text: record.Text})
	case trace.BackendSampled:
		b.addSample(second, record)
	case trace.ScheduleDelay:
		b.Report.ScheduleLag.Observe(record.Value)
	case trace.RPCFinished:
		return b.addRPC(bucket, record)
	}
	return nil
}

// addRPC counts a finished RPC in the bucket of its second and in the totals of its method.
func (b *Builder) addRPC(bucket *Second, record trace.Record) error {
	if record.Method >= len(b.methods) {
		return fmt.Errorf("record of method %d, but there are %d methods", record.Method, len(b.methods))
	}
	method, totals := b.methods[record.Method], &b.totals[record.Method]
	bucket.OfferedWeight += method.Criticality
	totals.offeredWeight += method.Criticality
	switch record.Text {
	case outcomeOK:
		if err := totals.latencies.RecordValue(max(1, int64(record.Value*microsecondsPerSecond))); err != nil {
			return fmt.Errorf("record a latency of %v s: %w", record.Value, err)
		}
		if record.Value > method.SoftDeadline {
			bucket.Late++
			return nil
		}
		bucket.InTime++
		bucket.InTimeWeight += method.Criticality
		totals.inTimeWeight += method.Criticality
	case outcomeRejected:
		bucket.Rejected++
	default:
		bucket.Aborted++
	}
	return nil
}

// addSample stores the state of a backend in a second. Records with an invalid backend or utilization are ignored.
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
	fleet.storeSample(&fleet.Capacity, second, backend, record.Value)
	fleet.storeSample(&fleet.Utilization, second, backend, utilization)
	fleet.storeSample(&fleet.Queued, second, backend, float64(record.Count))
}

// storeSample sets the value of a backend in a sample, and adds samples (rows) and backends (columns) as needed.
func (f *Fleet) storeSample(rows *[][]float32, sample, backend int, value float64) {
	for len(*rows) <= sample {
		*rows = append(*rows, make([]float32, f.backends))
	}
	row := &(*rows)[sample]
	for len(*row) <= backend {
		*row = append(*row, 0)
	}
	(*row)[backend] = float32(value)
}

// Finish computes the statistics of the whole run and returns the report.
func (b *Builder) Finish() *Report {
	for i := range b.Report.Faults {
		b.Report.Faults[i].To = min(b.Report.Faults[i].To, b.duration)
	}
	b.finishMethods()
	b.Report.findWorstWindow()
	return b.Report
}

// finishMethods computes the latencies of each method, the method with the lowest service, and the service of the whole run.
func (b *Builder) finishMethods() {
	report := b.Report
	report.Latencies, report.WorstMethod, report.WorstMethodService = nil, "", math.Inf(1)
	offered, inTime := 0.0, 0.0
	for i, method := range b.methods {
		totals := b.totals[i]
		report.Latencies = append(report.Latencies, totals.latencyQuantiles(method.Name))
		if totals.offeredWeight > 0 && totals.inTimeWeight/totals.offeredWeight < report.WorstMethodService {
			report.WorstMethod, report.WorstMethodService = method.Name, totals.inTimeWeight/totals.offeredWeight
		}
		offered += totals.offeredWeight
		inTime += totals.inTimeWeight
	}
	report.Service = serviceShare(inTime, offered)
}

// latencyQuantiles returns the quantiles of the latencies in seconds. method is the method's name.
func (t methodTotals) latencyQuantiles(method string) Latency {
	quantile := func(percent float64) float64 {
		return float64(t.latencies.ValueAtQuantile(percent)) / microsecondsPerSecond
	}
	return Latency{
		Method: method, Count: t.latencies.TotalCount(), P50: quantile(50), P90: quantile(90), P99: quantile(99),
		Max: float64(t.latencies.Max()) / microsecondsPerSecond,
	}
}

// findWorstWindow finds the ten consecutive seconds with the lowest service.
func (r *Report) findWorstWindow() {
	r.WorstTenSeconds = 1
	for start := 0; start+worstWindowSeconds <= len(r.Seconds); start++ {
		var sum Second
		for _, second := range r.Seconds[start : start+worstWindowSeconds] {
			sum.OfferedWeight += second.OfferedWeight
			sum.InTimeWeight += second.InTimeWeight
		}
		if sum.Service() < r.WorstTenSeconds {
			r.WorstTenSeconds, r.WorstTenSecondsStart = sum.Service(), start
		}
	}
}
