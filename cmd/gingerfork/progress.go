package main

import (
	"fmt"
	"io"
	"os"
)

// progressLine shows the progress of a long command: one line that is overwritten on a terminal, plain lines elsewhere.
type progressLine struct {
	out      io.Writer
	terminal bool
	open     bool // the terminal's cursor stands behind the line
}

func newProgressLine(out io.Writer) *progressLine {
	line := &progressLine{out: out}
	if file, ok := out.(*os.File); ok {
		info, err := file.Stat()
		line.terminal = err == nil && info.Mode()&os.ModeCharDevice != 0 && os.Getenv("TERM") != "dumb"
	}
	return line
}

// show replaces the line. Without a terminal it prints text only if plain is true.
func (l *progressLine) show(text string, plain bool) {
	if l.terminal {
		fmt.Fprintf(l.out, "\r\x1b[K%s", text)
		l.open = true
	} else if plain {
		fmt.Fprintln(l.out, text)
	}
}

// print prints text below the line, indented.
func (l *progressLine) print(text string) {
	l.end()
	fmt.Fprintln(l.out, "  "+text)
}

// end moves the cursor below the line.
func (l *progressLine) end() {
	if l.open {
		fmt.Fprintln(l.out)
		l.open = false
	}
}
