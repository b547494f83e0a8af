package measure

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"
)

const (
	storeRounds      = 3 // fleets started for each size, with and without a store
	storeDrains      = 8 // backends drained in each fleet
	storeJoinTimeout = 60 * time.Second
)

// storeMeasurement has the measured values of fleets of one size, either with or without a store.
type storeMeasurement struct {
	state          string    // folder of the coordinator's state, or noState
	drainLatencies []float64 // seconds
	restartTimes   []float64 // seconds from the start of the coordinator until all proxies have a table
	writtenBytes   int64     // bytes by which the coordinator's store grew during the drains
	stateChanges   int       // changes of backend states that caused these writes
}

// measureStore compares a coordinator that persists its state with one that does not: the latency of drains, the bytes written, and
// the time that a restart takes. Fleets with and without a store alternate, so that both see the same conditions of the machine.
func measureStore(ctx context.Context, out io.Writer, coordinatorCommand []string) error {
	fmt.Fprintln(out, "| backends | front ends | store | drains | median ms | 99th percentile ms | bytes written per change | start to all tables ms |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range []fleetSize{{100, 300}, {300, 800}} {
		withoutStore, withStore := &storeMeasurement{state: noState}, &storeMeasurement{state: stateFolderName}
		for range storeRounds {
			for _, measurement := range []*storeMeasurement{withoutStore, withStore} {
				if err := measurement.addFleet(ctx, coordinatorCommand, size); err != nil {
					return err
				}
			}
		}
		withoutStore.writeRow(out, size, "none")
		withStore.writeRow(out, size, "kept")
		writeStoreRatios(out, size, withStore, withoutStore)
	}
	return nil
}

// addFleet starts a fleet, drains backends, restarts the coordinator, and adds the measured values.
func (s *storeMeasurement) addFleet(ctx context.Context, coordinatorCommand []string, size fleetSize) error {
	fleet, err := startFleetWithState(ctx, coordinatorCommand, size, 0, s.state)
	if err != nil {
		return fmt.Errorf("start a fleet of %d backends and %d front ends: %w", size.backends, size.frontEnds, err)
	}
	defer fleet.stop()
	if _, err := fleet.waitForJoins(size.frontEnds, storeJoinTimeout); err != nil {
		return err
	}
	bytesBefore := fleet.storeBytes()
	latencies, _ := fleet.drainBackends(storeDrains)
	s.drainLatencies = append(s.drainLatencies, latencies...)
	if s.state != noState {
		s.writtenBytes += fleet.storeBytes() - bytesBefore
		s.stateChanges += 2 * len(latencies) // each backend was drained and reopened
	}
	seconds, err := fleet.restart(size.frontEnds, storeJoinTimeout)
	s.restartTimes = append(s.restartTimes, seconds)
	return err
}

// writeRow writes a table row with the measured values, which it sorts.
func (s *storeMeasurement) writeRow(out io.Writer, size fleetSize, name string) {
	slices.Sort(s.drainLatencies)
	slices.Sort(s.restartTimes)
	bytesPerChange := "-"
	if s.state != noState {
		bytesPerChange = fmt.Sprintf("%.0f", float64(s.writtenBytes)/float64(s.stateChanges))
	}
	fmt.Fprintf(out, "| %d | %d | %s | %d | %.1f | %.1f | %s | %.0f |\n", size.backends, size.frontEnds, name, len(s.drainLatencies),
		quantileMilliseconds(s.drainLatencies, 0.5), quantileMilliseconds(s.drainLatencies, 0.99), bytesPerChange, quantileMilliseconds(s.restartTimes, 0.5))
}

// writeStoreRatios writes a table row with the ratios of the values with a store to those without. Both must be sorted, as writeRow
// leaves them.
func writeStoreRatios(out io.Writer, size fleetSize, withStore, withoutStore *storeMeasurement) {
	fmt.Fprintf(out, "| %d | %d | kept/none | | %.2f | %.2f | | %.2f |\n", size.backends, size.frontEnds,
		quantile(withStore.drainLatencies, 0.5)/quantile(withoutStore.drainLatencies, 0.5), quantile(withStore.drainLatencies, 0.99)/quantile(withoutStore.drainLatencies, 0.99),
		quantile(withStore.restartTimes, 0.5)/quantile(withoutStore.restartTimes, 0.5))
}
