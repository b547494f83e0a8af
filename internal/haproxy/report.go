package haproxy

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Class tells what became of a line or of some of its words.
type Class uint8

// The classes of notes.
const (
	Carried Class = iota // exactly
	Differs              // carried over, with a difference that the note explains
	Dropped              // not carried over
	classCount
)

// String is the class as reports print it.
func (c Class) String() string {
	return [...]string{"carried", "carried with a difference", "not carried", "?"}[min(c, classCount)]
}

// Note tells what became of a line or of some of its words.
type Note struct {
	Line   Line // only with the words that the note is about
	Class  Class
	Reason string
}

// Text returns the words that the note is about.
func (n Note) Text() string { return strings.Join(n.Line.Words(), " ") }

// report collects what became of each line.
type report struct {
	Notes  []Note
	Faults []Fault
}

func (r *report) note(line Line, class Class, format string, args ...any) {
	r.Notes = append(r.Notes, Note{line, class, fmt.Sprintf(format, args...)})
}

// fault reports a fault of a kind; format and args are those of fmt.Errorf.
func (r *report) fault(position Position, kind error, format string, args ...any) {
	r.Faults = append(r.Faults, newFault(position, classify(kind, format, args...)))
}

// add appends another report.
func (r *report) add(other report) {
	r.Notes = append(r.Notes, other.Notes...)
	r.Faults = append(r.Faults, other.Faults...)
}

// sort brings notes and faults into the order of their positions, files in the order in which they were read.
func (r *report) sort(files []File) {
	order := map[string]int{}
	for i, file := range files {
		order[file.Name] = i
	}
	compare := func(a, b Position) int {
		if a.File != b.File {
			return cmp.Compare(order[a.File], order[b.File])
		}
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	}
	slices.SortStableFunc(r.Notes, func(a, b Note) int { return compare(a.Line.Position, b.Line.Position) })
	slices.SortStableFunc(r.Faults, func(a, b Fault) int { return compare(a.Position, b.Position) })
}
