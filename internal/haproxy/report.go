package haproxy

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Class tells how exactly a line, or part of it, was imported.
type Class uint8

// The classes of notes.
const (
	Carried Class = iota // carried over exactly
	Differs              // carried over, with a difference that the note explains
	Dropped              // not carried over
	classCount
)

// String returns the class as printed in reports.
func (c Class) String() string {
	return [...]string{"carried", "carried with a difference", "not carried", "?"}[min(c, classCount)]
}

// Note reports how a line, or part of it, was imported.
type Note struct {
	Line   Line // with only the words that the note is about
	Class  Class
	Reason string
}

// Text returns the words that the note is about.
func (n Note) Text() string { return strings.Join(n.Line.Words(), " ") }

// report collects the notes and faults of an import.
type report struct {
	Notes  []Note
	Faults []Fault
}

// note adds a note; format and args are those of fmt.Sprintf.
func (r *report) note(line Line, class Class, format string, args ...any) {
	r.Notes = append(r.Notes, Note{line, class, fmt.Sprintf(format, args...)})
}

// fault adds a fault of a kind; format and args are those of fmt.Errorf.
func (r *report) fault(position Position, kind error, format string, args ...any) {
	r.Faults = append(r.Faults, newFault(position, classify(kind, format, args...)))
}

// add appends the notes and faults of another report.
func (r *report) add(other report) {
	r.Notes = append(r.Notes, other.Notes...)
	r.Faults = append(r.Faults, other.Faults...)
}

// sort sorts notes and faults by position, with files in the order in which they were read.
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
