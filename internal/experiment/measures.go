package experiment

import (
	"maps"
	"slices"

	"gingerfork/internal/report"
	"gingerfork/internal/scenario"
)

// Values of measure.sign.
const (
	moreIsBetter = 1
	lessIsBetter = -1
)

const unitShareOfLimit = "of the limit"

// measure computes a value that is reported for each run.
type measure struct {
	sign    float64 // moreIsBetter or lessIsBetter
	unit    string
	compute func(result scenario.Result, runReport *report.Report) float64
}

// measures has all measures by the names that are used in plans.
var measures = map[string]measure{
	"service":  {moreIsBetter, "", func(r scenario.Result, _ *report.Report) float64 { return r.Report.Service.Share() }},
	"worst10":  {moreIsBetter, "", func(_ scenario.Result, f *report.Report) float64 { return f.WorstTenSeconds }},
	"messages": {lessIsBetter, "", func(r scenario.Result, _ *report.Report) float64 { return float64(r.Report.Pushes) }},
	"lines":    {lessIsBetter, "", func(r scenario.Result, _ *report.Report) float64 { return float64(r.Report.Entries) }},
	"tries":    {lessIsBetter, "", func(r scenario.Result, _ *report.Report) float64 { return float64(r.Report.Attempts) }},
	"falls":    {lessIsBetter, "", func(r scenario.Result, _ *report.Report) float64 { return float64(r.Report.Collapses) }},
	"margin":   {lessIsBetter, unitShareOfLimit, closestToLimit(1, 2, 3, 4, 5)},
	"margin1":  {lessIsBetter, unitShareOfLimit, closestToLimit(1)},
	"margin3":  {lessIsBetter, unitShareOfLimit, closestToLimit(3)},
	"margin4":  {lessIsBetter, unitShareOfLimit, closestToLimit(4)},
	"margin5":  {lessIsBetter, unitShareOfLimit, closestToLimit(5)},
	"latency-p50": {lessIsBetter, "ms", func(_ scenario.Result, f *report.Report) float64 {
		return worstLatency(f, func(l report.Latency) float64 { return l.P50 })
	}},
	"latency-p99": {lessIsBetter, "ms", func(_ scenario.Result, f *report.Report) float64 {
		return worstLatency(f, func(l report.Latency) float64 { return l.P99 })
	}},
}

// Measures returns the names of all measures, sorted.
func Measures() []string { return slices.Sorted(maps.Keys(measures)) }

// closestToLimit returns a function that computes how close a run came to the limit of any of the rules, as a share of that limit;
// from 1 on the limit was reached.
func closestToLimit(rules ...int) func(scenario.Result, *report.Report) float64 {
	return func(result scenario.Result, _ *report.Report) (share float64) {
		for _, rule := range result.Report.Rules {
			if slices.Contains(rules, rule.Rule) {
				share = max(share, rule.ClosestShare)
			}
		}
		return share
	}
}

// worstLatency returns the largest latency quantile among all methods, in milliseconds.
func worstLatency(runReport *report.Report, quantile func(report.Latency) float64) (largest float64) {
	const millisecondsPerSecond = 1000
	for _, latency := range runReport.Latencies {
		largest = max(largest, quantile(latency))
	}
	return millisecondsPerSecond * largest
}
