// Package measure runs the measurements whose results are in docs/performance.md: a coordinator process on loopback sockets with
// fleets of fake proxies and emulated backends of several sizes. Absolute values hold for one machine only; what can be compared is
// how they grow with the size of the fleet, and ratios of values from the same run.
package measure

import (
	"context"
	"io"
	"slices"
)

const (
	millisecondsPerSecond = 1e3
	microsecondsPerSecond = 1e6
)

// Run runs the measurements with the given names (drains, joins, idle, emulator, retries, store), or all if there are no names, and
// writes the results as Markdown tables. coordinatorCommand is a command line that runs a coordinator if the path of a settings
// file is appended to it. The plot of the measurement retries is written to picture as a PNG, unless picture is nil.
func Run(ctx context.Context, out io.Writer, coordinatorCommand, names []string, picture io.Writer) error {
	for _, measurement := range []struct {
		name string
		run  func() error
	}{
		{"store", func() error { return measureStore(ctx, out, coordinatorCommand) }},
		{"drains", func() error { return measureDrains(ctx, out, coordinatorCommand) }},
		{"joins", func() error { return measureJoins(ctx, out, coordinatorCommand) }},
		{"idle", func() error { return measureIdle(ctx, out, coordinatorCommand) }},
		{"emulator", func() error { return measureEmulator(ctx, out) }},
		{"retries", func() error { return measureRetries(out, picture) }},
	} {
		if len(names) > 0 && !slices.Contains(names, measurement.name) {
			continue
		}
		if err := measurement.run(); err != nil {
			return err
		}
	}
	return nil
}

// quantile returns a quantile of sorted values, or 0 if there are none. level is from 0 to 1: 0.5 is the median, 1 the maximum.
func quantile(sorted []float64, level float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(level*float64(len(sorted))))]
}

// quantileMilliseconds returns a quantile in milliseconds of sorted values in seconds.
func quantileMilliseconds(sorted []float64, level float64) float64 {
	return millisecondsPerSecond * quantile(sorted, level)
}
