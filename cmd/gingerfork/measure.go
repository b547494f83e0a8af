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
	Which []string `arg:"" optional:"" help:"drains, joins, idle, emulator, retries or store; none: all." enum:"drains,joins,idle,emulator,retries,store"`
	Plot  string   `aliases:"picture" help:"Plot goodput against offered load (retries) to this PNG file." placeholder:"FILE"`
}

// Run takes the measurements with coordinators that are processes of this program.
func (c measureCmd) Run(ctx context.Context, cli *program) error {
	exe, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find this program, to start a coordinator with it: %w", err)
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
