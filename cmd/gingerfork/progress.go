package main

import (
	"fmt"
	"io"
	"os"
)

// progressLine shows the progress of a long command: on a terminal as one line that is overwritten, otherwise as separate
// lines.
type progressLine struct {
	out      io.Writer
	terminal bool
	open     bool // the cursor of the terminal is at the end of the line
}

// newProgressLine returns a progress line on out, which is overwritten if out is a terminal.
func newProgressLine(out io.Writer) *progressLine {
	line := &progressLine{out: out}
	if file, ok := out.(*os.File); ok {
		info, err := file.Stat()
		line.terminal = err == nil && info.Mode()&os.ModeCharDevice != 0 && os.Getenv("TERM") != "dumb"
	}
	return line
}

// show replaces the progress line by text. Without a terminal it prints text as a new line, but only if plain is true.
func (l *progressLine) show(text string, plain bool) {
	if l.terminal {
		fmt.Fprintf(l.out, "\r\x1b[K%s", text)
		l.open = true
	} else if plain {
		fmt.Fprintln(l.out, text)
	}
}

// print ends the progress line and prints text, indented, on a line of its own.
func (l *progressLine) print(text string) {
	l.end()
	fmt.Fprintln(l.out, "  "+text)
}

// end moves the cursor to a new line if it is at the end of the progress line.
func (l *progressLine) end() {
	if l.open {
		fmt.Fprintln(l.out)
		l.open = false
	}
}
