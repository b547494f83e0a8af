package coordinator

import (
	"testing"

	"gingerfork/choice"
	"gingerfork/internal/proto"
)

// allListed treats every backend as listed.
func allListed(choice.BackendID) bool { return true }

// newTestAggregator returns an aggregator with a limit of reports per second, 0 for no limit, and a report period in seconds.
func newTestAggregator(now, reportsPerSecond, period float64) *reportAggregator {
	settings := choice.DecodeSettings(map[string]any{"intake": reportsPerSecond, "report_period": period})
	return newReportAggregator(choice.Config{Now: now, Settings: settings})
}

// Attempts are passed on summed by backend and zone, and usage by proxy and method, each with the time that it covers and
// within the limit of reports per second.
func TestReportsAreAggregatedAndRateLimited(t *testing.T) {
	now := 100.0
	aggregator := newTestAggregator(0, 10, 1)
	aggregator.takeDue(now)
	for i := range 20 {
		stream := &proxyStream{proxy: choice.ProxyID(i), zone: "a"}
		aggregator.add(now, stream, proto.Reports{
			Span:  2,
			Usage: []proto.UsageReport{{Method: 0, RPCs: 3, Failures: 1}, {Method: 9, RPCs: 3}},
			Attempts: []proto.AttemptReport{
				{Backend: 1, Attempts: 4, Failures: 2, MeanLatency: 0.1}, {Backend: 2, Attempts: 1, MeanLatency: 0.2},
			},
		}, allListed, 2)
	}
	attempts, usage := 0, 0
	var times []float64 // when each report was passed on
	for range 80 {
		now += 0.1
		for _, event := range aggregator.takeDue(now) {
			times = append(times, now)
			switch report := event.(type) {
			case choice.AttemptReport:
				attempts++
				checkAttemptReport(t, report)
			case choice.UsageReport:
				usage++
				if report.RPCs != 3 || report.Failures != 1 || report.Method != 0 {
					t.Errorf("want 3 RPCs of method 0 with 1 failure, got %+v", report)
				}
			}
		}
	}
	if attempts != 2 || usage != 20 {
		t.Fatalf("%d attempt reports, %d usage reports, want 2 and 20", attempts, usage)
	}
	for i := 12; i < len(times); i++ {
		if span := times[i] - times[i-12]; span < 1 {
			t.Fatalf("13 reports within %.2f s, the limit is 10 per second", span)
		}
	}
}

// checkAttemptReport checks the report for backend 1: the sum over 20 proxies with equal reports.
func checkAttemptReport(t *testing.T, report choice.AttemptReport) {
	t.Helper()
	if report.Backend != 1 {
		return
	}
	latencyWrong := report.MeanLatency < 0.0999 || report.MeanLatency > 0.1001
	if report.Attempts != 80 || report.Failures != 40 || latencyWrong || report.Span != 2 {
		t.Errorf("want 80 attempts, 40 failures, a mean latency of 0.1 s and a span of 2 s, got %+v", report)
	}
}

// However late the decision module takes reports, no more of them wait than there are pairs of backend and zone and of proxy
// and method.
func TestPendingReportsAreBounded(t *testing.T) {
	aggregator := newTestAggregator(100, 10, 1)
	for range 1000 {
		aggregator.add(100, &proxyStream{zone: "a"}, proto.Reports{
			Span: 1, Usage: []proto.UsageReport{{Method: 0, RPCs: 1}}, Attempts: []proto.AttemptReport{{Backend: 1, Attempts: 1}},
		}, allListed, 2)
	}
	if n := len(aggregator.queue); n > 2 {
		t.Fatalf("%d reports wait for one backend and one proxy, want at most 2", n)
	}
}

// Rounding must not make the aggregator request the same time again and again without passing on a report. It once did, and a
// scenario never ended.
func TestReportAggregatorDoesNotSpin(t *testing.T) {
	const proxies, maxSteps = 50, 200
	for _, rate := range []float64{3, 7, 500, 1e4 / 3} {
		aggregator := newTestAggregator(1e6, rate, 2)
		for i := range proxies {
			stream := &proxyStream{proxy: choice.ProxyID(i)}
			aggregator.add(1e6, stream, proto.Reports{Usage: []proto.UsageReport{{RPCs: 1}}}, nil, 1)
		}
		now, steps, reports := 1e6, 0, 0
		for at, ok := now, true; ok && steps < maxSteps; at, ok = aggregator.nextAt() {
			now = max(now, at)
			reports += len(aggregator.takeDue(now))
			steps++
		}
		if reports != proxies {
			t.Errorf("at %v reports per second: %d of %d reports after %d steps", rate, reports, proxies, steps)
		}
	}
}

// Usage is passed on at once. In a plain queue it waited behind attempts that were being gathered, which delayed admission
// control in an emulated fleet.
func TestUsageReportsDoNotWaitForAttemptReports(t *testing.T) {
	aggregator := newTestAggregator(100, 0, 2)
	report := proto.Reports{
		Span:     1,
		Attempts: []proto.AttemptReport{{Backend: 1, Attempts: 4}},
		Usage:    []proto.UsageReport{{Method: 0, RPCs: 5}},
	}
	aggregator.add(100, &proxyStream{zone: "a"}, report, allListed, 1)
	first := aggregator.takeDue(100)
	if len(first) != 1 {
		t.Fatalf("%d events at once, want 1", len(first))
	}
	if _, ok := first[0].(choice.UsageReport); !ok {
		t.Fatalf("the first event is a %T, want a usage report", first[0])
	}
	if later := aggregator.takeDue(101); len(later) != 1 {
		t.Fatalf("%d events once the attempts were gathered, want 1", len(later))
	}
	aggregator.add(102, &proxyStream{zone: "a", proxy: 7}, report, allListed, 1)
	aggregator.forgetProxy(7)
	if rest := aggregator.takeDue(110); len(rest) != 1 {
		t.Fatalf("%d events after the proxy was forgotten, want 1 for the backend", len(rest))
	}
}

// A report of more than can be counted must not turn the sum negative, which would look like a backend without attempts.
func TestReportCountsAreLimited(t *testing.T) {
	aggregator := newTestAggregator(100, 10, 1)
	for range 3 {
		aggregator.add(100, &proxyStream{zone: "a"}, proto.Reports{
			Span:     1,
			Usage:    []proto.UsageReport{{Method: 0, RPCs: 1 << 63}},
			Attempts: []proto.AttemptReport{{Backend: 1, Attempts: 1 << 63, Failures: 1 << 62}},
		}, allListed, 2)
	}
	for _, report := range aggregator.queue {
		if report.count != 3*maxReportCount || report.failures < 0 {
			t.Errorf("the sum has %d attempts or requests and %d failures, %.0f and none below 0 wanted", report.count, report.failures, 3*maxReportCount)
		}
	}
}
