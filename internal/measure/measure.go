// Package measure takes the figures of docs/performance.md: a coordinator process on loopback sockets, with fleets of fake proxies
// and emulated backends of several sizes. The figures hold for one machine; what is worth quoting is how they grow, and ratios
// within one run.
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

// Run takes the figures with the given names (drains, joins, idle, emulator, retries, store; none: all) and writes them as
// Markdown tables. serve is the command that runs a coordinator when the name of a settings file is added. picture, if not nil,
// gets the plot of the figure retries as a PNG.
func Run(ctx context.Context, out io.Writer, serve, names []string, picture io.Writer) error {
	for _, figure := range []struct {
		name string
		take func() error
	}{
		{"store", func() error { return store(ctx, out, serve) }},
		{"drains", func() error { return drains(ctx, out, serve) }},
		{"joins", func() error { return joins(ctx, out, serve) }},
		{"idle", func() error { return idle(ctx, out, serve) }},
		{"emulator", func() error { return emulatorFigures(ctx, out) }},
		{"retries", func() error { return retries(out, picture) }},
	} {
		if len(names) > 0 && !slices.Contains(names, figure.name) {
			continue
		}
		if err := figure.take(); err != nil {
			return err
		}
	}
	return nil
}

// quantile returns a quantile, from 0 to 1, of sorted figures; 0 if there are none.
func quantile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// milliseconds returns a quantile of sorted seconds in milliseconds.
func milliseconds(sorted []float64, share float64) float64 {
	return millisecondsPerSecond * quantile(sorted, share)
}
