// Package report turns the trace of a run into figures by second, latencies by method, and a picture. JSON keys are those that
// earlier versions wrote.
package report

import (
	"fmt"
	"io"
)

// Second has what ended, and what was pushed, within one second of the run.
type Second struct {
	InTime        int
	Late          int
	Rejected      int `json:"PushedBack"`
	Aborted       int
	OfferedWeight float64 `json:"Asked"`    // criticality of the RPCs that ended
	InTimeWeight  float64 `json:"Weighed"`  // criticality of those that were answered within the soft deadline
	Pushes        int     `json:"Messages"` // to proxies
	Entries       int     `json:"Lines"`    // table entries in them
}

// Service is the share of the criticality that ended that was answered within the soft deadline; 1 if nothing ended.
func (s Second) Service() float64 { return serviceShare(s.InTimeWeight, s.OfferedWeight) }

// serviceShare is the weight answered in time as a share of the weight that ended; 1 if nothing ended.
func serviceShare(inTime, offered float64) float64 {
	if offered == 0 {
		return 1
	}
	return inTime / offered
}

// Fault is a fault that the scenario injected.
type Fault struct {
	From, To float64 // seconds from the start of the run
	Text     string  // as the scenario has it
}

// Latency is how long the successful RPCs of a method took, from when they were due.
type Latency struct {
	Method        string
	Count         int64   `json:"N"`
	P50, P90, P99 float64 // seconds
	Max           float64 `json:"Worst"` // seconds
}

// Fleet has the samples of what backends were able to do, and did. Samples are indexed by time and backend.
type Fleet struct {
	SampleInterval    float64     `json:"Step"`  // seconds
	Capacity          [][]float32 `json:"Able"`  // RPCs a second that a backend could serve
	Utilization       [][]float32 `json:"Busy"`  // share of its cores in use
	Queued            [][]float32 `json:"Waits"` // RPCs
	AchievableService float64     `json:"Most"`  // the best service that the faults allowed; 0: unknown

	backends int // the most that any sample has
}

// Report has the figures of a run.
type Report struct {
	Seconds              []Second
	Faults               []Fault `json:"Troubles"`
	Latencies            []Latency
	WorstTenSeconds      float64 `json:"Worst10"`   // service in the ten seconds with the least
	WorstTenSecondsStart int     `json:"WorstAt"`   // the second that they begin with
	WorstMethod          string  `json:"Poorest"`   // the method with the least service
	WorstMethodService   float64 `json:"PoorestBy"` // its service
	Fleet                *Fleet  // nil: backends were not sampled
	Service              float64
	ScheduleLag          ScheduleLag `json:"Behind"`
}

const millisecondsPerSecond = 1e3

// WriteText writes the figures that a terminal shows.
func (r *Report) WriteText(out io.Writer) {
	if r.Fleet != nil && r.Fleet.AchievableService > 0 {
		fmt.Fprintf(out, "service %.3f of %.3f that the servers' true state allowed\n", r.Service, r.Fleet.AchievableService)
	}
	fmt.Fprintf(out, "poorest ten seconds from %d s: service %.3f; poorest method %s: %.3f\n",
		r.WorstTenSecondsStart, r.WorstTenSeconds, r.WorstMethod, r.WorstMethodService)
	if r.ScheduleLag.Max > 0 {
		fmt.Fprintf(out, "emulation at most %.1f ms late, more than %.0f ms in %.2f%% of looks\n",
			millisecondsPerSecond*r.ScheduleLag.Max, millisecondsPerSecond*MaxLag, 100*r.ScheduleLag.LateShare())
	}
	if r.ScheduleLag.Invalid() {
		fmt.Fprintln(out, "VOID: the emulation fell behind; ask for less, or give it more cores")
	}
	for _, latency := range r.Latencies {
		fmt.Fprintf(out, "%s: %d ok, median %.0f ms, 90th %.0f, 99th %.0f, worst %.0f\n", latency.Method, latency.Count,
			millisecondsPerSecond*latency.P50, millisecondsPerSecond*latency.P90, millisecondsPerSecond*latency.P99, millisecondsPerSecond*latency.Max)
	}
}
