package measure

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"strings"
	"sync"

	"gingerfork/internal/scenario"
	"gingerfork/internal/trace"
)

// The fleet of the retry storms, and the runs in which some of its backends hang.
const (
	stormBackends        = 100
	stormFrontEnds       = 300
	stormBackendCapacity = 30.0                                 // RPCs per second
	stormFleetCapacity   = stormBackends * stormBackendCapacity // RPCs per second
	stormWarmUp          = 5                                    // seconds from the start of the run that are not evaluated
	hangSeedCount        = 6
	hangOfferedLoad      = 0.9 // offered load as a share of stormFleetCapacity
)

// stormRun is a run of a scenario with a retry storm: its parameters and, after play, its results.
type stormRun struct {
	Offered          float64 // offered load without the clients' retries, as a share of stormFleetCapacity
	AdmissionControl bool
	ClientRetries    bool
	Hanging          bool // a tenth of the backends hang for 8 s
	Seed             uint64

	RPCs       float64 // RPCs per second at the front ends, including the clients' retries
	Attempts   float64 // attempts per second at the backends
	Goodput    float64 // RPCs per second that were answered within the soft deadline
	Service    float64 // criticality answered within the soft deadline, as a share of the criticality offered, over the whole run
	Violations int     // violations of the rules that internal/invariant checks, over the whole run
}

// scenario returns the scenario to be played.
func (s stormRun) scenario() (*scenario.Scenario, error) {
	var text strings.Builder
	fmt.Fprintf(&text, "day storm\nsettings storm.conf\nlength 40s\nseed %d\ncoordinators 2\nservers %d capacity %g\nfrontends %d rate %g uneven 0.5\nmix 70%% 30%%\n",
		s.Seed, stormBackends, stormBackendCapacity, stormFrontEnds, s.Offered*stormBackends*stormBackendCapacity/stormFrontEnds)
	if s.ClientRetries {
		fmt.Fprintln(&text, "clients again 70% after 200ms at-most 3")
	}
	if s.Hanging {
		fmt.Fprintln(&text, "at 12s hang servers 10% for 8s")
	}
	return scenario.Read("storm.day", text.String(), func(string) ([]byte, error) {
		settings, err := scenario.File("region.conf")
		if !s.AdmissionControl {
			settings = []byte(strings.Replace(string(settings), "level-kind      share", "level-kind      none", 1))
		}
		return settings, err
	})
}

// play plays the scenario in virtual time and sets the results.
func (s *stormRun) play() error {
	storm, err := s.scenario()
	if err != nil {
		return err
	}
	result, err := scenario.PlayVirtual(storm, scenario.Options{})
	if err != nil {
		return err
	}
	methods := storm.Limits().Methods
	start := math.Inf(1)
	for _, record := range result.Records {
		start = min(start, record.Time)
		if record.Time-record.Value < start+stormWarmUp {
			continue
		}
		switch record.Kind {
		case trace.AttemptSent:
			s.Attempts++
		case trace.RPCFinished:
			s.RPCs++
			if record.Text == "ok" && record.Value <= methods[record.Method].SoftDeadline {
				s.Goodput++
			}
		}
	}
	evaluatedSeconds := storm.Duration - stormWarmUp
	s.RPCs, s.Goodput, s.Attempts = s.RPCs/evaluatedSeconds, s.Goodput/evaluatedSeconds, s.Attempts/evaluatedSeconds
	s.Service = result.Report.Service.Share()
	for _, rule := range result.Report.Rules {
		s.Violations += rule.Violations
	}
	return nil
}

// playStormRuns plays runs on all cores and sets their results.
func playStormRuns(runs []stormRun) error {
	errs := make([]error, len(runs))
	next := make(chan int)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for i := range next {
				errs[i] = runs[i].play()
			}
		}()
	}
	for i := range runs {
		next <- i
	}
	close(next)
	workers.Wait()
	for i, err := range errs {
		if err != nil {
			return fmt.Errorf("play the retry storm at %v of the capacity, seed %d: %w", runs[i].Offered, runs[i].Seed, err)
		}
	}
	return nil
}

// measureRetries measures retry storms: the goodput by offered load, and the effect of a tenth of the backends hanging at 0.9 of
// the capacity. A plot of the goodput is written to picture as a PNG, unless picture is nil.
func measureRetries(out, picture io.Writer) error {
	if err := measureGoodput(out, picture); err != nil {
		return err
	}
	return measureHangs(out)
}

// measureGoodput measures the goodput at several offered loads, with and without admission control and client retries.
func measureGoodput(out, picture io.Writer) error {
	offered := []float64{0.2, 0.5, 0.8, 0.9, 1, 1.1, 1.3, 1.6, 2, 2.5, 3}
	variants := []stormRun{
		{AdmissionControl: true, ClientRetries: true},
		{AdmissionControl: false, ClientRetries: true},
		{AdmissionControl: true, ClientRetries: false},
	}
	runs := make([]stormRun, 0, len(variants)*len(offered))
	for _, run := range variants {
		for _, share := range offered {
			run.Offered, run.Seed = share, 4
			runs = append(runs, run)
		}
	}
	if err := playStormRuns(runs); err != nil {
		return err
	}
	fmt.Fprintln(out, "| offered load, share of capacity | RPCs per second with retries | attempts per second | goodput with admission control | goodput without | goodput with, clients don't retry | rule violations with admission control |\n| --- | --- | --- | --- | --- | --- | --- |")
	count := len(offered)
	controlled, uncontrolled, withoutRetries := runs[:count], runs[count:2*count], runs[2*count:]
	peakGoodput := 0.0
	for i, share := range offered {
		run := controlled[i]
		fmt.Fprintf(out, "| %.1f | %.0f | %.0f | %.0f | %.0f | %.0f | %d |\n", share, run.RPCs, run.Attempts, run.Goodput,
			uncontrolled[i].Goodput, withoutRetries[i].Goodput, run.Violations)
		peakGoodput = max(peakGoodput, run.Goodput)
	}
	fmt.Fprintf(out, "\nAt 3 times the capacity the goodput is %.2f of its peak.\n", controlled[count-1].Goodput/peakGoodput)
	if picture == nil {
		return nil
	}
	if err := drawGoodput(picture, controlled, uncontrolled, withoutRetries); err != nil {
		return fmt.Errorf("draw the goodput plot: %w", err)
	}
	return nil
}

// measureHangs measures the effect of a tenth of the backends hanging, with and without admission control and client retries.
func measureHangs(out io.Writer) error {
	variants := []stormRun{
		{AdmissionControl: true},
		{AdmissionControl: true, Hanging: true},
		{AdmissionControl: true, ClientRetries: true},
		{AdmissionControl: true, ClientRetries: true, Hanging: true},
		{ClientRetries: true, Hanging: true},
	}
	runs := make([]stormRun, 0, len(variants)*hangSeedCount)
	for _, run := range variants {
		for seed := range uint64(hangSeedCount) {
			run.Offered, run.Seed = hangOfferedLoad, seed+1
			runs = append(runs, run)
		}
	}
	if err := playStormRuns(runs); err != nil {
		return err
	}
	fmt.Fprintln(out, "\n| admission control | clients retry | a tenth hangs 8 s | RPCs, of offered | attempts, of offered | service, mean of 6 seeds | service, minimum | rule violations |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
	for i := 0; i < len(runs); i += hangSeedCount {
		writeHangRow(out, runs[i:i+hangSeedCount])
	}
	return nil
}

// writeHangRow writes a table row for runs that differ in their seeds only.
func writeHangRow(out io.Writer, runs []stormRun) {
	rpcs, attempts, meanService, minService, violations := 0.0, 0.0, 0.0, 1.0, 0
	for _, run := range runs {
		rpcs += run.RPCs / hangSeedCount
		attempts += run.Attempts / hangSeedCount
		meanService += run.Service / hangSeedCount
		minService = min(minService, run.Service)
		violations += run.Violations
	}
	const offered = hangOfferedLoad * stormFleetCapacity
	yesNo := map[bool]string{true: "yes", false: "no"}
	parameters := runs[0]
	fmt.Fprintf(out, "| %s | %s | %s | %.2f | %.2f | %.3f | %.3f | %d |\n", yesNo[parameters.AdmissionControl], yesNo[parameters.ClientRetries],
		yesNo[parameters.Hanging], rpcs/offered, attempts/offered, meanService, minService, violations)
}
