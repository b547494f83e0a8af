package main

import (
	"context"
	"fmt"
	"os"

	"gingerfork/internal/measure"
)

type measureCmd struct {
	Which []string `arg:"" optional:"" help:"drains, joins or idle; none: all." enum:"drains,joins,idle"`
}

func (c measureCmd) Run(p *program, ctx context.Context) error {
	exe, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find this program, to start a coordinator with it: %w", err)
	}
	return measure.Run(ctx, p.out, []string{exe, "--log-level", "error", "serve"}, c.Which)
}
