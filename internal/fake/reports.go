package fake

import (
	"cmp"
	"slices"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// reportSamples are the counts for the next usage and attempt report.
type reportSamples struct {
	usage    []proto.UsageReport // by method
	attempts map[proto.BackendID]*attemptCounts
	since    statemachine.Seconds
}

type attemptCounts struct {
	total, failed uint64
	latency       statemachine.Seconds // sum of the successful attempts
}

func newReportSamples(methods int) reportSamples {
	samples := reportSamples{usage: make([]proto.UsageReport, methods), attempts: map[proto.BackendID]*attemptCounts{}}
	samples.reset(0)
	return samples
}

func (r *reportSamples) reset(now statemachine.Seconds) {
	for method := range r.usage {
		r.usage[method] = proto.UsageReport{Method: uint64(method)}
	}
	clear(r.attempts)
	r.since = now
}

func (r *reportSamples) addRPC(method int) {
	r.usage[method].RPCs++
}

// addFailure counts a failed RPC. One that began before the last report is counted as far as RPCs began since.
func (r *reportSamples) addFailure(method int) {
	usage := &r.usage[method]
	usage.Failures = min(usage.Failures+1, usage.RPCs)
}

func (r *reportSamples) addAttempt(backend proto.BackendID, succeeded bool, latency statemachine.Seconds) {
	counts := r.attempts[backend]
	if counts == nil {
		counts = &attemptCounts{}
		r.attempts[backend] = counts
	}
	counts.total++
	if succeeded {
		counts.latency += latency
	} else {
		counts.failed++
	}
}

// message is the report for the coordinator.
func (r *reportSamples) message(now statemachine.Seconds) proto.Reports {
	report := proto.Reports{Span: now - r.since}
	for _, usage := range r.usage {
		if usage.RPCs > 0 {
			report.Usage = append(report.Usage, usage)
		}
	}
	for backend, counts := range r.attempts {
		attempts := proto.AttemptReport{Backend: backend, Attempts: counts.total, Failures: counts.failed}
		if counts.total > counts.failed {
			attempts.MeanLatency = counts.latency / float64(counts.total-counts.failed)
		}
		report.Attempts = append(report.Attempts, attempts)
	}
	slices.SortFunc(report.Attempts, func(a, b proto.AttemptReport) int { return cmp.Compare(a.Backend, b.Backend) })
	return report
}

// report sends the coordinator what was counted since the last report; an empty one serves as a heartbeat. It ends the
// session if the coordinator was silent for too long.
func (f *FrontEnd) report(now statemachine.Seconds) {
	f.timers.schedule(now+f.config.ReportPeriod, f.report)
	if f.config.RecordScheduleDelay {
		f.out.Record(trace.Record{Time: now, Kind: trace.ScheduleDelay, Party: f.config.Name, Value: f.clients.maxDelay})
		f.clients.maxDelay = 0
	}
	if f.config.StaticTable != nil {
		f.reportSamples.reset(now)
		return
	}
	if f.session.stream == 0 {
		return
	}
	if f.coordinatorSilent(now) {
		reason := "silent for too long"
		if !f.session.joined {
			reason = "no welcome"
		}
		f.out.Abort(f.session.stream)
		f.endSession(now, reason)
		return
	}
	if !f.session.joined {
		return
	}
	f.out.Write(f.session.stream, proto.Append(nil, f.reportSamples.message(now)))
	f.reportSamples.reset(now)
}
