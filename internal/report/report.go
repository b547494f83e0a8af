// Package report computes statistics of a run from its trace: numbers for each second, latencies by method, and a picture. The JSON
// keys are the names that earlier versions used, so that reports of all versions can be read in the same way.
package report

import (
	"fmt"
	"io"
)

// Second has the numbers of RPCs that ended and of pushes that were sent in one second of the run.
type Second struct {
	InTime        int
	Late          int
	Rejected      int `json:"PushedBack"`
	Aborted       int
	OfferedWeight float64 `json:"Asked"`    // criticality of the RPCs that ended
	InTimeWeight  float64 `json:"Weighed"`  // criticality of the RPCs that were answered within the soft deadline
	Pushes        int     `json:"Messages"` // pushes that were sent to proxies
	Entries       int     `json:"Lines"`    // total size of these pushes: operations, table entries and admission levels
}

// Service returns the criticality of RPCs answered within the soft deadline as a share of the criticality of all RPCs that ended,
// or 1 if none ended.
func (s Second) Service() float64 { return serviceShare(s.InTimeWeight, s.OfferedWeight) }

// serviceShare returns the weight answered in time as a share of the offered weight, or 1 if nothing was offered.
func serviceShare(inTime, offered float64) float64 {
	if offered == 0 {
		return 1
	}
	return inTime / offered
}

// Fault is a fault that the scenario injected.
type Fault struct {
	From, To float64 // seconds from the start of the run
	Text     string  // the step of the scenario
}

// Latency is the distribution of the latencies of a method's successful RPCs, counted from when an RPC was due to be sent.
type Latency struct {
	Method        string
	Count         int64   `json:"N"`
	P50, P90, P99 float64 // seconds
	Max           float64 `json:"Worst"` // seconds
}

// Fleet has samples of the backends' state, indexed by time and backend.
type Fleet struct {
	SampleInterval    float64     `json:"Step"`  // seconds
	Capacity          [][]float32 `json:"Able"`  // RPCs per second that the backend could serve
	Utilization       [][]float32 `json:"Busy"`  // share of the backend's cores in use
	Queued            [][]float32 `json:"Waits"` // RPCs queued at the backend
	AchievableService float64     `json:"Most"`  // upper bound of the run's service (answered share of the offered criticality) under the injected faults; 0 if unknown

	backends int // number of backends in the sample that has the most
}

// Report has the statistics of a run.
type Report struct {
	Seconds              []Second
	Faults               []Fault `json:"Troubles"`
	Latencies            []Latency
	WorstTenSeconds      float64 `json:"Worst10"`   // service in the ten consecutive seconds with the lowest
	WorstTenSecondsStart int     `json:"WorstAt"`   // index of the first of these seconds
	WorstMethod          string  `json:"Poorest"`   // name of the method with the lowest service
	WorstMethodService   float64 `json:"PoorestBy"` // service of that method
	Fleet                *Fleet  // nil if backends were not sampled
	Service              float64
	ScheduleLag          ScheduleLag `json:"Behind"`
}

const millisecondsPerSecond = 1e3

// WriteText writes a summary for the terminal.
func (r *Report) WriteText(out io.Writer) {
	if r.Fleet != nil && r.Fleet.AchievableService > 0 {
		fmt.Fprintf(out, "service %.3f, upper bound given the backends' actual state %.3f\n", r.Service, r.Fleet.AchievableService)
	}
	fmt.Fprintf(out, "worst ten seconds from %d s: service %.3f; worst method %s: service %.3f\n",
		r.WorstTenSecondsStart, r.WorstTenSeconds, r.WorstMethod, r.WorstMethodService)
	if r.ScheduleLag.Max > 0 {
		fmt.Fprintf(out, "emulation at most %.1f ms behind schedule, more than %.0f ms in %.2f%% of samples\n",
			millisecondsPerSecond*r.ScheduleLag.Max, millisecondsPerSecond*MaxLag, 100*r.ScheduleLag.LateShare())
	}
	if r.ScheduleLag.Invalid() {
		fmt.Fprintln(out, "VOID: the emulation fell behind schedule; reduce the load or use more cores")
	}
	for _, latency := range r.Latencies {
		fmt.Fprintf(out, "%s: %d ok, median %.0f ms, 90th percentile %.0f, 99th %.0f, maximum %.0f\n", latency.Method, latency.Count,
			millisecondsPerSecond*latency.P50, millisecondsPerSecond*latency.P90, millisecondsPerSecond*latency.P99, millisecondsPerSecond*latency.Max)
	}
}
