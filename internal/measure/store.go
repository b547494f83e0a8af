package measure

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"gingerfork/internal/trace"
)

// Store measures what keeping costs and gains: the same fleet with and without a store, in turn within one run.
func Store(ctx context.Context, out io.Writer, serve []string) error {
	fmt.Fprintln(out, "| servers | front ends | store | drains | median ms | 99th ms | bytes written a change | exec to all tables ms |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range [][2]int{{100, 300}, {300, 800}} {
		times, again := map[string][]float64{}, map[string][]float64{}
		written, changes := 0.0, 0
		states := []string{"-", "kept"}
		for range 3 {
			for _, state := range states {
				if err := func() error {
					f, err := start(ctx, serve, size[0], size[1], 0, state)
					defer f.Stop()
					if err != nil {
						return fmt.Errorf("start %v: %w", size, err)
					}
					if _, err = f.Joined(size[1], 60*time.Second); err != nil {
						return err
					}
					before := f.kept()
					all, _ := f.Drains(8)
					times[state] = append(times[state], all...)
					if state != "-" {
						written += float64(f.kept() - before)
						changes += 2 * len(all) // each server came back
					}
					took, err := f.Again(size[1], 60*time.Second)
					again[state] = append(again[state], took)
					return err
				}(); err != nil {
					return err
				}
			}
		}
		for _, state := range states {
			slices.Sort(times[state])
			slices.Sort(again[state])
			name, bytes := "none", "-"
			if state != "-" {
				name, bytes = "kept", fmt.Sprintf("%.0f", written/float64(changes))
			}
			fmt.Fprintf(out, "| %d | %d | %s | %d | %.1f | %.1f | %s | %.0f |\n", size[0], size[1], name, len(times[state]), 1e3*Quantile(times[state], 0.5),
				1e3*Quantile(times[state], 0.99), bytes, 1e3*Quantile(again[state], 0.5))
		}
		fmt.Fprintf(out, "| %d | %d | kept/none | | %.2f | %.2f | | %.2f |\n", size[0], size[1], Quantile(times["kept"], 0.5)/Quantile(times["-"], 0.5),
			Quantile(times["kept"], 0.99)/Quantile(times["-"], 0.99), Quantile(again["kept"], 0.5)/Quantile(again["-"], 0.5))
	}
	return nil
}

// kept is how many bytes the store's files have.
func (f *Fleet) kept() (n int64) {
	all, _ := filepath.Glob(filepath.Join(f.dir, "kept", "store", "*"))
	for _, name := range all {
		if info, err := os.Stat(name); err == nil {
			n += info.Size()
		}
	}
	return n
}

// Again kills the coordinator outright, starts it again, and gives the seconds from its start until so many proxies have
// applied a table.
func (f *Fleet) Again(n int, limit time.Duration) (float64, error) {
	_ = f.cmd.Process.Kill()
	<-f.ended
	f.take()
	began := f.clock.Now()
	if err := f.exec(); err != nil {
		return 0, err
	}
	applied, last := map[string]bool{}, 0.0
	for end := time.Now().Add(limit); len(applied) < n; time.Sleep(20 * time.Millisecond) {
		for _, r := range f.take() {
			if r.Kind == trace.PushApplied && !applied[r.Party] && r.Time > began {
				applied[r.Party] = true
				last = max(last, r.Time)
			}
		}
		if time.Now().After(end) {
			return 0, fmt.Errorf("%d of %d proxies have a table %v after a restart", len(applied), n, limit)
		}
	}
	return last - began, nil
}
