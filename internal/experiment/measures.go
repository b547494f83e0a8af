package experiment

import (
	"maps"
	"slices"

	"gingerfork/internal/report"
	"gingerfork/internal/scenario"
)

// The signs of a measure.
const (
	moreIsBetter = 1
	lessIsBetter = -1
)

const unitOfLimit = "of the limit"

// measure is a figure of a run.
type measure struct {
	sign  float64 // moreIsBetter or lessIsBetter
	unit  string
	value func(played scenario.Result, figures *report.Report) float64
}

// measures are all measures by the names that plans use.
var measures = map[string]measure{
	"service":  {moreIsBetter, "", func(r scenario.Result, _ *report.Report) float64 { return r.Report.Service.Share() }},
	"worst10":  {moreIsBetter, "", func(_ scenario.Result, f *report.Report) float64 { return f.WorstTenSeconds }},
	"messages": {lessIsBetter, "", func(r scenario.Result, _ *report.Report) float64 { return float64(r.Report.Pushes) }},
	"lines":    {lessIsBetter, "", func(r scenario.Result, _ *report.Report) float64 { return float64(r.Report.Entries) }},
	"tries":    {lessIsBetter, "", func(r scenario.Result, _ *report.Report) float64 { return float64(r.Report.Attempts) }},
	"falls":    {lessIsBetter, "", func(r scenario.Result, _ *report.Report) float64 { return float64(r.Report.Collapses) }},
	"margin":   {lessIsBetter, unitOfLimit, closest(1, 2, 3, 4, 5)},
	"margin1":  {lessIsBetter, unitOfLimit, closest(1)},
	"margin3":  {lessIsBetter, unitOfLimit, closest(3)},
	"margin4":  {lessIsBetter, unitOfLimit, closest(4)},
	"margin5":  {lessIsBetter, unitOfLimit, closest(5)},
	"latency-p50": {lessIsBetter, "ms", func(_ scenario.Result, f *report.Report) float64 {
		return worstLatency(f, func(l report.Latency) float64 { return l.P50 })
	}},
	"latency-p99": {lessIsBetter, "ms", func(_ scenario.Result, f *report.Report) float64 {
		return worstLatency(f, func(l report.Latency) float64 { return l.P99 })
	}},
}

// Measures returns the names of all measures, sorted.
func Measures() []string { return slices.Sorted(maps.Keys(measures)) }

// closest returns a function for how close a run came to the limit of one of the rules; 1 is at the limit.
func closest(rules ...int) func(scenario.Result, *report.Report) float64 {
	return func(played scenario.Result, _ *report.Report) (share float64) {
		for _, rule := range played.Report.Rules {
			if slices.Contains(rules, rule.Rule) {
				share = max(share, rule.ClosestShare)
			}
		}
		return share
	}
}

// worstLatency returns a latency of the method with the largest, in milliseconds.
func worstLatency(figures *report.Report, quantile func(report.Latency) float64) (seconds float64) {
	const millisecondsPerSecond = 1000
	for _, latency := range figures.Latencies {
		seconds = max(seconds, quantile(latency))
	}
	return millisecondsPerSecond * seconds
}
