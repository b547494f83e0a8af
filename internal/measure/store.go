package measure

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"
)

const (
	storeRounds      = 3
	storeDrains      = 8 // in each round
	storeJoinTimeout = 60 * time.Second
)

// storeFigures are the figures of fleets of one size, with or without a store.
type storeFigures struct {
	state    string // the coordinator's folder, or noState
	drains   []float64
	restarts []float64 // seconds from the start until all proxies have a table
	written  int64     // bytes
	changes  int       // of the state, with which they were written
}

// store measures what persistence costs and gains: the same fleet with and without a store, alternating within one run.
func store(ctx context.Context, out io.Writer, serve []string) error {
	fmt.Fprintln(out, "| servers | front ends | store | drains | median ms | 99th ms | bytes written a change | exec to all tables ms |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range []fleetSize{{100, 300}, {300, 800}} {
		without, with := &storeFigures{state: noState}, &storeFigures{state: stateName}
		for range storeRounds {
			for _, figures := range []*storeFigures{without, with} {
				if err := figures.take(ctx, serve, size); err != nil {
					return err
				}
			}
		}
		without.write(out, size, "none")
		with.write(out, size, "kept")
		writeStoreRatios(out, size, with, without)
	}
	return nil
}

// take adds the figures of one fleet.
func (s *storeFigures) take(ctx context.Context, serve []string, size fleetSize) error {
	fleet, err := startFleetWithState(ctx, serve, size, 0, s.state)
	if err != nil {
		return fmt.Errorf("start %v: %w", size, err)
	}
	defer fleet.stop()
	if _, err := fleet.joined(size.frontEnds, storeJoinTimeout); err != nil {
		return err
	}
	before := fleet.storeBytes()
	latencies, _ := fleet.drains(storeDrains)
	s.drains = append(s.drains, latencies...)
	if s.state != noState {
		s.written += fleet.storeBytes() - before
		s.changes += 2 * len(latencies) // each backend was drained and opened again
	}
	seconds, err := fleet.restart(size.frontEnds, storeJoinTimeout)
	s.restarts = append(s.restarts, seconds)
	return err
}

// write writes the row of the figures; it sorts them.
func (s *storeFigures) write(out io.Writer, size fleetSize, name string) {
	slices.Sort(s.drains)
	slices.Sort(s.restarts)
	written := "-"
	if s.state != noState {
		written = fmt.Sprintf("%.0f", float64(s.written)/float64(s.changes))
	}
	fmt.Fprintf(out, "| %d | %d | %s | %d | %.1f | %.1f | %s | %.0f |\n", size.backends, size.frontEnds, name, len(s.drains),
		milliseconds(s.drains, 0.5), milliseconds(s.drains, 0.99), written, milliseconds(s.restarts, 0.5))
}

// writeStoreRatios writes the ratios of sorted figures with a store to those without.
func writeStoreRatios(out io.Writer, size fleetSize, with, without *storeFigures) {
	fmt.Fprintf(out, "| %d | %d | kept/none | | %.2f | %.2f | | %.2f |\n", size.backends, size.frontEnds,
		quantile(with.drains, 0.5)/quantile(without.drains, 0.5), quantile(with.drains, 0.99)/quantile(without.drains, 0.99),
		quantile(with.restarts, 0.5)/quantile(without.restarts, 0.5))
}
