package fake

import (
	"cmp"
	"slices"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// reportSamples are the counts for the next usage and attempt reports.
type reportSamples struct {
	usage    []proto.UsageReport // by index of the method
	attempts map[proto.BackendID]*attemptCounts
	since    statemachine.Seconds // start of the reported time span
}

// attemptCounts counts the finished attempts at a backend.
type attemptCounts struct {
	total, failed uint64
	totalLatency  statemachine.Seconds // sum of the latencies of the successful attempts
}

func newReportSamples(methodCount int) reportSamples {
	samples := reportSamples{usage: make([]proto.UsageReport, methodCount), attempts: map[proto.BackendID]*attemptCounts{}}
	samples.reset(0)
	return samples
}

// reset sets all counts to 0 and starts a new time span.
func (r *reportSamples) reset(now statemachine.Seconds) {
	for method := range r.usage {
		r.usage[method] = proto.UsageReport{Method: uint64(method)}
	}
	clear(r.attempts)
	r.since = now
}

// addRPC counts an RPC that a client sent.
func (r *reportSamples) addRPC(method int) {
	r.usage[method].RPCs++
}

// addFailure counts a failed RPC. The number of failures is limited to the number of RPCs, because a failed RPC may have started
// before the last report.
func (r *reportSamples) addFailure(method int) {
	usage := &r.usage[method]
	usage.Failures = min(usage.Failures+1, usage.RPCs)
}

// addAttempt counts a finished attempt at a backend.
func (r *reportSamples) addAttempt(backend proto.BackendID, succeeded bool, latency statemachine.Seconds) {
	counts := r.attempts[backend]
	if counts == nil {
		counts = &attemptCounts{}
		r.attempts[backend] = counts
	}
	counts.total++
	if succeeded {
		counts.totalLatency += latency
	} else {
		counts.failed++
	}
}

// message returns the report for the coordinator, with the attempts sorted by backend.
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
			attempts.MeanLatency = counts.totalLatency / float64(counts.total-counts.failed)
		}
		report.Attempts = append(report.Attempts, attempts)
	}
	slices.SortFunc(report.Attempts, func(a, b proto.AttemptReport) int { return cmp.Compare(a.Backend, b.Backend) })
	return report
}

// report sends the coordinator the counts since the last report and schedules the next report. An empty report serves as a
// heartbeat. If the coordinator was silent for too long, report ends the session instead. With a static table nothing is sent.
func (f *FrontEnd) report(now statemachine.Seconds) {
	f.timers.schedule(now+f.config.ReportPeriod, f.report)
	if f.config.RecordScheduleDelay {
		f.out.Record(trace.Record{Time: now, Kind: trace.ScheduleDelay, Party: f.config.Name, Value: f.clientTraffic.maxDelay})
		f.clientTraffic.maxDelay = 0
	}
	if f.config.StaticTable != nil {
		f.reportSamples.reset(now)
		return
	}
	if f.session.conn == 0 {
		return
	}
	if f.coordinatorSilent(now) {
		reason := "silent for too long"
		if !f.session.joined {
			reason = "no welcome"
		}
		f.out.Abort(f.session.conn)
		f.endSession(now, reason)
		return
	}
	if !f.session.joined {
		return
	}
	f.out.Write(f.session.conn, proto.Append(nil, f.reportSamples.message(now)))
	f.reportSamples.reset(now)
}
