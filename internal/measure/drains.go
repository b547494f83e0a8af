package measure

import (
	"context"
	"fmt"
	"io"
	"time"
)

const (
	drainGrace       = 2.1 // seconds in which attempts to a draining backend are permitted; the same as drain-grace in settingsTemplate
	drainCount       = 20  // backends drained in each fleet
	drainFleetRate   = 4   // RPCs per second of each front end
	drainJoinTimeout = 60 * time.Second
	drainWarmUp      = 2 * time.Second
)

// measureDrains measures, for several fleet sizes, the time from the start of a drain until no proxy can send to the draining
// backend any more.
func measureDrains(ctx context.Context, out io.Writer, coordinatorCommand []string) error {
	fmt.Fprintln(out, "| backends | front ends | drains | median ms | 99th percentile ms | maximum ms | maximum, share of the grace of 2.1 s | RPCs sent meanwhile |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range []fleetSize{{50, 100}, {100, 300}, {300, 800}} {
		latencies, sent, err := measureFleetDrains(ctx, coordinatorCommand, size)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "| %d | %d | %d | %.1f | %.1f | %.1f | %.1f%% | %d |\n", size.backends, size.frontEnds, len(latencies),
			quantileMilliseconds(latencies, 0.5), quantileMilliseconds(latencies, 0.99), quantileMilliseconds(latencies, 1), 100*quantile(latencies, 1)/drainGrace, sent)
	}
	return nil
}

// measureFleetDrains starts a fleet and drains its backends one after another. It returns the sorted latencies in seconds and the
// number of RPCs that were sent to draining backends.
func measureFleetDrains(ctx context.Context, coordinatorCommand []string, size fleetSize) (latencies []float64, sent int, err error) {
	fleet, err := startFleet(ctx, coordinatorCommand, size.backends, size.frontEnds, drainFleetRate)
	if err != nil {
		return nil, 0, fmt.Errorf("start a fleet of %d backends and %d front ends: %w", size.backends, size.frontEnds, err)
	}
	defer fleet.stop()
	if _, err := fleet.waitForJoins(size.frontEnds, drainJoinTimeout); err != nil {
		return nil, 0, err
	}
	time.Sleep(drainWarmUp)
	latencies, sent = fleet.drainBackends(drainCount)
	return latencies, sent, nil
}
