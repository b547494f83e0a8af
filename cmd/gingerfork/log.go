package main

import (
	"io"
	"log/slog"
	"os"
	"strings"

	"github.com/rs/zerolog"
)

// logger writes through zerolog, which costs no allocation a line; slog is what the packages see of it.
func (p *program) logger() *slog.Logger {
	level := map[string]zerolog.Level{
		"debug": zerolog.DebugLevel, "info": zerolog.InfoLevel, "warn": zerolog.WarnLevel,
		"error": zerolog.ErrorLevel,
	}[p.LogLevel]
	w := p.err
	if p.LogFormat == "text" {
		w = zerolog.ConsoleWriter{Out: p.err, NoColor: p.err != io.Writer(os.Stderr) || !terminal(), TimeFormat: "15:04:05.000"}
	}
	z := zerolog.New(w).Level(level).With().Timestamp().Logger()
	return slog.New(zerolog.NewSlogHandler(z))
}

func terminal() bool {
	info, err := os.Stderr.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0 && !strings.EqualFold(os.Getenv("TERM"), "dumb")
}
