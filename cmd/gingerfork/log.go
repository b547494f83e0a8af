package main

import (
	"io"
	"log/slog"
	"os"
	"strings"

	"github.com/rs/zerolog"
)

// logLevels maps the values of --log-level to the levels of zerolog.
var logLevels = map[string]zerolog.Level{
	"debug": zerolog.DebugLevel,
	"info":  zerolog.InfoLevel,
	"warn":  zerolog.WarnLevel,
	"error": zerolog.ErrorLevel,
}

// logger returns a logger that writes to standard error in the format and from the level that the flags select. The packages
// use log/slog only; zerolog writes the lines, because it does so without allocating for each line.
func (p *program) logger() *slog.Logger {
	target := p.err
	if p.LogFormat == "text" {
		colored := p.err == io.Writer(os.Stderr) && stderrIsTerminal()
		target = zerolog.ConsoleWriter{Out: p.err, NoColor: !colored, TimeFormat: "15:04:05.000"}
	}
	logger := zerolog.New(target).Level(logLevels[p.LogLevel]).With().Timestamp().Logger()
	return slog.New(zerolog.NewSlogHandler(logger))
}

// stderrIsTerminal reports whether standard error is a terminal that can show colors.
func stderrIsTerminal() bool {
	info, err := os.Stderr.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0 && !strings.EqualFold(os.Getenv("TERM"), "dumb")
}
