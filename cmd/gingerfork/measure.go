package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"gingerfork/internal/measure"
)

type measureCmd struct {
	Which   []string `arg:"" optional:"" help:"drains, joins, idle, emulator, retries or store; none: all." enum:"drains,joins,idle,emulator,retries,store"`
	Picture string   `help:"Draw goodput against offered load (retries) to this PNG file." placeholder:"FILE"`
}

func (c measureCmd) Run(ctx context.Context, p *program) (err error) {
	exe, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find this program, to start a coordinator with it: %w", err)
	}
	var picture io.Writer
	if c.Picture != "" {
		f, err := os.Create(c.Picture)
		if err != nil {
			return fmt.Errorf("draw the picture: %w", err)
		}
		defer func() {
			if bad := f.Close(); bad != nil && err == nil {
				err = fmt.Errorf("draw the picture: %w", bad)
			}
		}()
		picture = f
	}
	return measure.Run(ctx, p.out, []string{exe, "--log-level", "error", "serve"}, c.Which, picture)
}
