package haproxy

import "gingerfork/internal/route"

// Source is the name and the text of a file.
type Source struct{ Name, Text string }

// Import is the result of importing files. Pools, Notes and Faults are in the order of the files.
type Import struct {
	Files  []File
	Pools  []Pool
	Routes []route.Route
	Notes  []Note
	Faults []Fault
}

// Counts returns the number of notes of each class.
func (i Import) Counts() (counts [classCount]int) {
	for _, note := range i.Notes {
		counts[note.Class]++
	}
	return counts
}

// importer holds the state of an import: the results so far, and the sections by which later lines are interpreted.
type importer struct {
	report
	files    []File
	pools    []Pool
	routes   []route.Route
	sections []*section
	defaults map[string]*section // named defaults sections by name
	backends map[string]*section // backend and listen sections by name
}

// Read imports files in the given order, as if they were one file. It continues after faults, so that all of them are reported at
// once.
func Read(sources []Source, environment Environment) Import {
	m := &importer{defaults: map[string]*section{}, backends: map[string]*section{}}
	m.splitSections(m.readLines(sources, environment))
	for _, current := range m.sections {
		m.importSection(current)
	}
	m.checkTracks()
	m.mergeExcessMethods()
	m.sort(m.files)
	return Import{Files: m.files, Pools: m.pools, Routes: m.routes, Notes: m.Notes, Faults: m.Faults}
}

// readLines returns the lines of all files that conditional blocks select.
func (m *importer) readLines(sources []Source, environment Environment) (lines []Line) {
	for _, source := range sources {
		file, faults := lexFile(source.Name, source.Text, environment.Variables)
		m.files = append(m.files, file)
		m.Faults = append(m.Faults, faults...)
		selected := selectBlocks(file, environment)
		m.add(selected.report)
		for _, line := range selected.skippedLines {
			m.note(line, Dropped, "in a block whose condition does not hold")
		}
		lines = append(lines, selected.selectedLines...)
	}
	return lines
}

// importSection imports a section. All its lines must have been collected by splitSections.
func (m *importer) importSection(current *section) {
	switch current.kind {
	case kindBackend, kindListen:
		m.importPool(current)
	case kindDefaults:
		m.importLines(current, nil)
	case kindFrontend:
		m.importRoutes(current)
		m.importLines(current, nil)
	default:
		for _, line := range current.lines {
			m.note(line, Dropped, "in section %s, which concerns HAProxy itself", current.kind)
		}
	}
}
