package measure

import (
	"context"
	"fmt"
	"io"
	"time"
)

const (
	drainGrace       = 2.1 // seconds, as in the settings of the fleet
	drainsPerFleet   = 20
	drainFleetRate   = 4 // RPCs a second of each front end
	drainJoinTimeout = 60 * time.Second
	drainWarmUp      = 2 * time.Second
)

// drains measures how long it takes until no proxy can send to a backend that drains.
func drains(ctx context.Context, out io.Writer, serve []string) error {
	fmt.Fprintln(out, "| servers | front ends | drains | median ms | 99th ms | worst ms | worst, of a grace of 2.1 s | RPCs sent meanwhile |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range []fleetSize{{50, 100}, {100, 300}, {300, 800}} {
		latencies, sent, err := drainFleet(ctx, serve, size)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "| %d | %d | %d | %.1f | %.1f | %.1f | %.1f%% | %d |\n", size.backends, size.frontEnds, len(latencies),
			milliseconds(latencies, 0.5), milliseconds(latencies, 0.99), milliseconds(latencies, 1), 100*quantile(latencies, 1)/drainGrace, sent)
	}
	return nil
}

func drainFleet(ctx context.Context, serve []string, size fleetSize) (latencies []float64, sent int, err error) {
	fleet, err := startFleet(ctx, serve, size.backends, size.frontEnds, drainFleetRate)
	if err != nil {
		return nil, 0, fmt.Errorf("start %v: %w", size, err)
	}
	defer fleet.stop()
	if _, err := fleet.joined(size.frontEnds, drainJoinTimeout); err != nil {
		return nil, 0, err
	}
	time.Sleep(drainWarmUp)
	latencies, sent = fleet.drains(drainsPerFleet)
	return latencies, sent, nil
}
