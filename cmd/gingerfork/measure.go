package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"gingerfork/internal/measure"
)

type measureCmd struct {
	Which []string `arg:"" optional:"" help:"Measurements to take: drains, joins, idle, emulator, retries or store; default: all." enum:"drains,joins,idle,emulator,retries,store"`
	Plot  string   `aliases:"picture" help:"Plot goodput against offered load (retries) to this PNG file." placeholder:"FILE"`
}

// Run takes the measurements against coordinators that it starts as child processes.
func (c measureCmd) Run(ctx context.Context, cli *program) error {
	exe, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find the executable, to start a coordinator: %w", err)
	}
	coordinator := []string{exe, "--log-level", "error", "serve"}
	if c.Plot == "" {
		return measure.Run(ctx, cli.out, coordinator, c.Which, nil)
	}
	var measureErr error
	if err := writeFile(c.Plot, func(w io.Writer) error {
		measureErr = measure.Run(ctx, cli.out, coordinator, c.Which, w)
		return nil
	}); err != nil {
		return errors.Join(measureErr, fmt.Errorf("draw the plot: %w", err))
	}
	return measureErr
}
