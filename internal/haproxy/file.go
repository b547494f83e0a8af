package haproxy

import (
	"fmt"
	"strings"
)

// Position is a position in a file. Line and Column count from 1, and Column counts bytes.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns the position in the form file:line.
func (p Position) String() string { return fmt.Sprintf("%s:%d", p.File, p.Line) }

// Token is one argument of a line. Quotes, escapes and variables in it are already resolved (manual, 2.2 and 2.3).
type Token struct {
	Text   string
	Column int  // where the argument begins, counted from 1 in bytes
	Quoted bool // part of the argument was quoted or escaped, so that an empty argument is kept
}

// Line is a line with at least one argument; blank lines and comments have none.
type Line struct {
	Position
	Tokens []Token
}

// Word returns the text of the argument with index i, or "" if there are fewer arguments.
func (l Line) Word(i int) string {
	if i < len(l.Tokens) {
		return l.Tokens[i].Text
	}
	return ""
}

// Words returns the texts of all arguments.
func (l Line) Words() []string {
	words := make([]string, len(l.Tokens))
	for i, token := range l.Tokens {
		words[i] = token.Text
	}
	return words
}

// part returns the line reduced to the arguments with indices in [from, to), at the position of the first of them.
func (l Line) part(from, to int) Line {
	to = min(to, len(l.Tokens))
	part := Line{l.Position, l.Tokens[min(from, to):to]}
	if len(part.Tokens) > 0 {
		part.Column = part.Tokens[0].Column
	}
	return part
}

// File is a file that was read. Raw holds each line with its line end, so that the file can be written back unchanged.
type File struct {
	Name  string
	Raw   []string
	Lines []Line
}

// Text returns the file's text as read, before any line was interpreted.
func (f File) Text() string { return strings.Join(f.Raw, "") }

// maxArguments is the maximum number of arguments of a line (manual, 2.2).
const maxArguments = 64

// lexFile splits the text of a file into lines and arguments. A faulty line is reported and left out; the others are still read.
func lexFile(name, text string, variables map[string]string) (file File, faults []Fault) {
	file.Name = name
	for number := 1; text != ""; number++ {
		raw, rest, _ := strings.Cut(text, "\n")
		end := len(raw)
		if end < len(text) {
			end++ // The line end belongs to the raw line.
		}
		file.Raw = append(file.Raw, text[:end])
		text = rest
		position := Position{name, number, 1}
		tokens, err := lexLine(strings.TrimSuffix(raw, "\r"), variables)
		switch {
		case err != nil:
			position.Column = err.column
			faults = append(faults, newFault(position, err))
		case len(tokens) > maxArguments:
			faults = append(faults, newFault(position, classify(ErrSyntax, "%d arguments, %d at most", len(tokens), maxArguments)))
		case len(tokens) > 0:
			position.Column = tokens[0].Column
			file.Lines = append(file.Lines, Line{position, tokens})
		}
	}
	return file, faults
}
