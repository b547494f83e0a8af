package haproxy

import (
	"slices"
	"strings"
)

// The kinds of proxy sections (manual, 4).
const (
	kindDefaults = "defaults"
	kindFrontend = "frontend"
	kindBackend  = "backend"
	kindListen   = "listen"
)

// sectionKinds are the keywords that begin a section.
var sectionKinds = []string{
	"global", kindDefaults, kindFrontend, kindBackend, kindListen, "resolvers", "peers", "mailers", "userlist", "cache", "program",
	"ring", "http-errors", "log-forward", "log-profile", "crt-store", "fcgi-app", "traces", "acme",
}

// isProxy reports whether sections of a kind configure proxies.
func isProxy(kind string) bool {
	return kind == kindDefaults || kind == kindFrontend || kind == kindBackend || kind == kindListen
}

// section is a section of the files, with a reference to the defaults section that it inherits from.
type section struct {
	Position
	kind, name     string
	defaults       *section // defaults section that the section inherits from; nil if none
	lines          []Line
	routeProblems  map[int]string // why the match or route of a line is not carried over, by the line's index in lines
	defaultServers []Line         // default-server lines that were read so far, those of the inherited defaults first
}

// inheritedLines returns what a section inherits from this defaults section: this section's lines, after those that it inherits
// itself.
func (s *section) inheritedLines() (lines []Line) {
	if s.defaults != nil {
		lines = s.defaults.inheritedLines()
	}
	return append(lines, s.lines...)
}

// splitSections groups lines into sections. A proxy inherits from the defaults section that it names with from, or else from the
// last defaults section before it. A defaults section inherits only from one that it names (manual, 4).
func (m *importer) splitSections(lines []Line) {
	var current, defaults *section
	for _, line := range lines {
		word := line.Word(0)
		if slices.Contains(sectionKinds, word) {
			current = m.openSection(line, defaults)
			if word == kindDefaults {
				defaults = current
			}
			continue
		}
		if current == nil {
			m.fault(line.Position, ErrMisplaced, "%s before any section", word)
			m.note(line, Dropped, "it stands before any section")
			continue
		}
		current.lines = append(current.lines, line)
	}
}

// openSection begins the section of a line with a section keyword. defaults is the last defaults section before it.
func (m *importer) openSection(line Line, defaults *section) *section {
	opened := &section{Position: line.Position, kind: line.Word(0)}
	arguments := line.Words()[1:]
	unnamed := len(arguments) == 0 || opened.kind == kindDefaults && arguments[0] == "from"
	if !unnamed {
		opened.name, arguments = arguments[0], arguments[1:]
	}
	m.noteSection(line)
	if isProxy(opened.kind) {
		if opened.kind != kindDefaults {
			opened.defaults = defaults
		}
		m.resolveDefaults(opened, arguments)
		m.checkSectionName(opened)
	}
	m.registerSection(opened)
	m.sections = append(m.sections, opened)
	return opened
}

// noteSection reports a line that begins a section.
func (m *importer) noteSection(line Line) {
	switch line.Word(0) {
	case kindDefaults, kindBackend, kindListen:
		m.note(line, Carried, "")
	case kindFrontend:
		m.note(line, Differs, "our proxies are the front ends; its pools are carried")
	default:
		m.note(line, Dropped, "a section that concerns HAProxy itself")
	}
}

// resolveDefaults sets the defaults section that a proxy names with from; arguments are the words after the section's name.
func (m *importer) resolveDefaults(proxy *section, arguments []string) {
	if len(arguments) == 0 {
		return
	}
	if len(arguments) < 2 || arguments[0] != "from" {
		m.fault(proxy.Position, ErrSyntax, "%s after the section's name", strings.Join(arguments, " "))
		return
	}
	name := arguments[1]
	proxy.defaults = m.defaults[name]
	switch {
	case proxy.defaults != nil:
	case name == proxy.name && proxy.kind == kindDefaults:
		m.fault(proxy.Position, ErrCycle, "defaults %s follow themselves, in a circle", proxy.name)
	default:
		m.fault(proxy.Position, ErrUndefined, "from %s: no such defaults before this line", name)
	}
}

// checkSectionName reports a name that is missing or contains a forbidden character.
func (m *importer) checkSectionName(proxy *section) {
	if proxy.kind != kindDefaults && proxy.name == "" {
		m.fault(proxy.Position, ErrName, "a %s without a name", proxy.kind)
	}
	if character := forbiddenCharacter(proxy.name); character != "" {
		m.fault(proxy.Position, ErrName, "%q is not permitted in the name of a %s", character, proxy.kind)
	}
}

// registerSection records a section under its name for lines that refer to it, and reports a name that is already in use.
func (m *importer) registerSection(opened *section) {
	switch opened.kind {
	case kindDefaults:
		if opened.name == "" {
			return
		}
		if m.defaults[opened.name] != nil {
			m.fault(opened.Position, ErrDuplicate, "defaults %s once more", opened.name)
		}
		m.defaults[opened.name] = opened
	case kindBackend, kindListen:
		first := m.backends[opened.name]
		if first != nil && opened.name != "" {
			m.fault(opened.Position, ErrDuplicate, "%s %s is at line %d already", opened.kind, opened.name, first.Line)
			return
		}
		m.backends[opened.name] = opened
	}
}

// forbiddenCharacter returns the first character of a name that is not permitted in names (manual, 4), or "". Names are written into
// files and logs, whose meaning a line end or a blank in a name would change.
func forbiddenCharacter(name string) string {
	for _, character := range name {
		if !isAllowedInName(character) {
			return string(character)
		}
	}
	return ""
}

func isAllowedInName(c rune) bool {
	return isLetterOrDigit(c) || strings.ContainsRune("-_.:", c)
}

func isLetterOrDigit(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}
