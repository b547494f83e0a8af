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

// The fleet that is overloaded.
const (
	stormBackends        = 100
	stormFrontEnds       = 300
	stormBackendCapacity = 30.0 // RPCs a second
	stormCapacity        = stormBackends * stormBackendCapacity
	stormStart           = 5 // seconds at the start that do not count
	hangSeeds            = 6
	hangOffered          = 0.9 // of the capacity
)

// storm is one point of the retry storm: what was offered, and what came of it.
type storm struct {
	Offered          float64 // by clients that do not retry, as a share of the capacity
	AdmissionControl bool
	ClientRetries    bool
	Hanging          bool // a tenth of the backends hang for a while
	Seed             uint64

	RPCs       float64 // a second, those of clients that retry among them
	Attempts   float64 // a second, at backends
	Goodput    float64 // RPCs a second that were answered within the soft deadline
	Service    float64
	Violations int // of rules
}

// scenario returns the scenario of the point.
func (s storm) scenario() (*scenario.Scenario, error) {
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

// play plays the point in virtual time and fills in what came of it.
func (s *storm) play() error {
	played, err := s.scenario()
	if err != nil {
		return err
	}
	result, err := scenario.PlayVirtual(played, scenario.Options{})
	if err != nil {
		return err
	}
	methods := played.Limits().Methods
	start := math.Inf(1)
	for _, record := range result.Records {
		start = min(start, record.Time)
		if record.Time-record.Value < start+stormStart {
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
	span := played.Duration - stormStart
	s.RPCs, s.Goodput, s.Attempts = s.RPCs/span, s.Goodput/span, s.Attempts/span
	s.Service = result.Report.Service.Share()
	for _, rule := range result.Report.Rules {
		s.Violations += rule.Violations
	}
	return nil
}

// playAll plays points on all cores and fills in what came of them.
func playAll(points []storm) error {
	errs := make([]error, len(points))
	next := make(chan int)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for i := range next {
				errs[i] = points[i].play()
			}
		}()
	}
	for i := range points {
		next <- i
	}
	close(next)
	workers.Wait()
	for i, err := range errs {
		if err != nil {
			return fmt.Errorf("play %v of capacity, seed %d: %w", points[i].Offered, points[i].Seed, err)
		}
	}
	return nil
}

// retries measures the retry storm: goodput by offered load, and what comes of a tenth of the backends that hang at 0.9 of the
// capacity. picture, if not nil, gets a plot of the goodput as a PNG.
func retries(out, picture io.Writer) error {
	if err := goodput(out, picture); err != nil {
		return err
	}
	return hangs(out)
}

// goodput measures the goodput by offered load.
func goodput(out, picture io.Writer) error {
	offered := []float64{0.2, 0.5, 0.8, 0.9, 1, 1.1, 1.3, 1.6, 2, 2.5, 3}
	kinds := []storm{
		{AdmissionControl: true, ClientRetries: true},
		{AdmissionControl: false, ClientRetries: true},
		{AdmissionControl: true, ClientRetries: false},
	}
	points := make([]storm, 0, len(kinds)*len(offered))
	for _, point := range kinds {
		for _, share := range offered {
			point.Offered, point.Seed = share, 4
			points = append(points, point)
		}
	}
	if err := playAll(points); err != nil {
		return err
	}
	fmt.Fprintln(out, "| offered, of capacity | RPCs a second that came | tries a second | in time a second, levels | without levels | levels, nobody comes again | rules broken with levels |\n| --- | --- | --- | --- | --- | --- | --- |")
	count := len(offered)
	controlled, uncontrolled, withoutRetries := points[:count], points[count:2*count], points[2*count:]
	peak := 0.0
	for i, share := range offered {
		point := controlled[i]
		fmt.Fprintf(out, "| %.1f | %.0f | %.0f | %.0f | %.0f | %.0f | %d |\n", share, point.RPCs, point.Attempts, point.Goodput,
			uncontrolled[i].Goodput, withoutRetries[i].Goodput, point.Violations)
		peak = max(peak, point.Goodput)
	}
	fmt.Fprintf(out, "\nAt 3 times the capacity %.2f of the peak is still answered in time.\n", controlled[count-1].Goodput/peak)
	if picture == nil {
		return nil
	}
	if err := drawGoodput(picture, controlled, uncontrolled, withoutRetries); err != nil {
		return fmt.Errorf("draw the storm: %w", err)
	}
	return nil
}

// hangs measures what comes of a tenth of the backends that hang.
func hangs(out io.Writer) error {
	kinds := []storm{
		{AdmissionControl: true},
		{AdmissionControl: true, Hanging: true},
		{AdmissionControl: true, ClientRetries: true},
		{AdmissionControl: true, ClientRetries: true, Hanging: true},
		{ClientRetries: true, Hanging: true},
	}
	points := make([]storm, 0, len(kinds)*hangSeeds)
	for _, point := range kinds {
		for seed := range uint64(hangSeeds) {
			point.Offered, point.Seed = hangOffered, seed+1
			points = append(points, point)
		}
	}
	if err := playAll(points); err != nil {
		return err
	}
	fmt.Fprintln(out, "\n| levels | clients come again | a tenth hangs 8 s | came, of offered | tries, of offered | service, mean of 6 seeds | least | rules broken |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
	for i := 0; i < len(points); i += hangSeeds {
		writeHang(out, points[i:i+hangSeeds])
	}
	return nil
}

// writeHang writes the row of points that differ in their seeds only.
func writeHang(out io.Writer, points []storm) {
	rpcs, attempts, mean, least, violations := 0.0, 0.0, 0.0, 1.0, 0
	for _, point := range points {
		rpcs += point.RPCs / hangSeeds
		attempts += point.Attempts / hangSeeds
		mean += point.Service / hangSeeds
		least = min(least, point.Service)
		violations += point.Violations
	}
	const offered = hangOffered * stormCapacity
	yesNo := map[bool]string{true: "yes", false: "no"}
	kind := points[0]
	fmt.Fprintf(out, "| %s | %s | %s | %.2f | %.2f | %.3f | %.3f | %d |\n", yesNo[kind.AdmissionControl], yesNo[kind.ClientRetries],
		yesNo[kind.Hanging], rpcs/offered, attempts/offered, mean, least, violations)
}
