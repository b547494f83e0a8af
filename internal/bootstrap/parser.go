package bootstrap

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// noValue is the word for a path or name that is not set.
const noValue = "-"

// section is an open section of a file.
type section struct {
	name  string
	arg   string
	open  Line            // the line that opens it; zero for a section that the file does not have
	given map[string]Line // where each of its keywords stands
}

// parser reads the lines of a file one by one.
type parser struct {
	settings *Settings
	faults   Faults
	current  *section // nil before the first section
	sections map[string]*section
}

// Parse reads settings from lines. File names the file in faults that belong to no line. With faults, the settings are incomplete.
func Parse(file string, lines []Line) (*Settings, Faults) {
	reader := &parser{
		settings: &Settings{
			Values:  map[string]any{},
			Peers:   map[int]string{},
			program: map[string]any{},
			lines:   map[string]Line{},
		},
		sections: map[string]*section{},
	}
	for _, line := range lines {
		if !reader.openSection(line) {
			reader.setting(line)
		}
	}
	reader.complete(file)
	reader.settings.Values["method.n"] = float64(len(reader.settings.Methods))
	reader.settings.Values["slices"] = 0.0
	return reader.settings, append(reader.faults, reader.settings.check()...)
}

func (p *parser) fault(line Line, format string, args ...any) {
	p.faults = append(p.faults, line.Fault(format, args...))
}

// openSection tells whether a line opens a section.
func (p *parser) openSection(line Line) bool {
	at := slices.IndexFunc(sections, func(s sectionType) bool { return s.Name == line.Words[0] })
	if at < 0 {
		return false
	}
	kind := sections[at]
	p.current = &section{name: kind.Name, open: line, given: map[string]Line{}}
	wanted := 0
	if kind.Arg != "" {
		wanted = 1
	}
	if len(line.Words)-1 != wanted {
		p.fault(line, "%s takes %d names, has %d", kind.Name, wanted, len(line.Words)-1)
	}
	if len(line.Words) > 1 {
		p.current.arg = line.Words[1]
	}
	key := kind.Name
	if kind.Name == methodSection {
		key = methodKey(p.current.arg)
	}
	if first := p.sections[key]; first != nil {
		p.fault(line, "%s stands here a second time, first at %s:%d", key, first.open.File, first.open.Number)
	} else {
		p.sections[key] = p.current
	}
	p.name(p.current)
	return true
}

// methodKey is the key of a method's section in parser.sections.
func methodKey(method string) string { return methodSection + " " + method }

// name takes over the name of a section that has one.
func (p *parser) name(opened *section) {
	switch opened.name {
	case "instance":
		p.settings.Name = opened.arg
	case methodSection:
		if !slices.Contains(p.settings.Methods, opened.arg) {
			p.settings.Methods = append(p.settings.Methods, opened.arg)
		}
	}
}

// setting reads a line that sets a keyword of the current section.
func (p *parser) setting(line Line) {
	word := line.Words[0]
	if p.current == nil {
		p.fault(line, "%s stands outside of any section%s", word, didYouMean(word, sectionNames()))
		return
	}
	found := findKeyword(p.current.name, word)
	if found == nil {
		known := append(keywordNames(p.current.name), sectionNames()...)
		p.fault(line, "%s is no keyword of %s%s", word, p.current.name, didYouMean(word, known))
		return
	}
	if first, repeated := p.current.given[word]; repeated && found.Syntax != peerSyntax {
		p.fault(line, "%s stands here a second time, first at %s:%d", word, first.File, first.Number)
		return
	}
	p.current.given[word] = line
	value, err := found.value(line.Words[1:])
	if err != nil {
		p.fault(line, "%v", err)
		return
	}
	p.settings.set(p.current, found, value, line)
}

// complete fills in the defaults, and reports the sections and settings that are missing.
func (p *parser) complete(file string) {
	for _, kind := range sections {
		if kind.Name == methodSection {
			p.completeMethods(file)
			continue
		}
		if p.sections[kind.Name] == nil {
			if hasRequired(kind.Name) {
				p.fault(Line{File: file, Number: 1}, "there is no section %s", kind.Name)
				continue
			}
			p.sections[kind.Name] = &section{name: kind.Name}
		}
		p.completeSection(p.sections[kind.Name])
	}
}

func (p *parser) completeMethods(file string) {
	if len(p.settings.Methods) == 0 {
		p.fault(Line{File: file, Number: 1}, "there is no section method, one at least expected")
	}
	for _, method := range p.settings.Methods {
		p.completeSection(p.sections[methodKey(method)])
	}
}

func hasRequired(section string) bool {
	return slices.ContainsFunc(keywords, func(k keyword) bool { return k.Section == section && k.Default == required })
}

func (p *parser) completeSection(incomplete *section) {
	for i := range keywords {
		missing := &keywords[i]
		if missing.Section != incomplete.name {
			continue
		}
		if _, given := incomplete.given[missing.Name]; given {
			continue
		}
		switch {
		case missing.Default == required:
			title := strings.TrimSpace(incomplete.name + " " + incomplete.arg)
			p.fault(incomplete.open, "%s lacks %s (such as: %s)", title, missing.Name, missing.Example)
		case missing.Syntax != peerSyntax:
			p.settings.set(incomplete, missing, missing.defaultValue(), incomplete.open)
		}
	}
}

func (k *keyword) defaultValue() any {
	value, err := k.value([]string{k.Default})
	if err != nil {
		panic("bootstrap: bad default: " + err.Error()) // a mistake in keywords, which a test would find
	}
	return value
}

// set stores the value of a keyword that stands on a line of a section.
func (s *Settings) set(owner *section, setting *keyword, value any, line Line) {
	s.lines[lineKey(owner.name, owner.arg, setting.Name)] = line
	switch setting.Syntax {
	case peerSyntax:
		s.setPeer(value.([]string))
		return
	case wordsSyntax:
		s.setWords(setting.DecisionName, value.([]string))
		return
	case pathSyntax:
		value = resolveSetting(value.(string), line.File)
	}
	switch {
	case setting.DecisionName == "":
		s.program[setting.Name] = value
	case owner.name == methodSection:
		number := slices.Index(s.Methods, owner.arg)
		s.Values[fmt.Sprintf("method.%d.name", number)] = owner.arg
		s.Values[fmt.Sprintf("method.%d.%s", number, setting.DecisionName)] = value
	default:
		s.Values[setting.DecisionName] = value
	}
}

// setPeer stores a peer's number, which keyword.value has checked, and address.
func (s *Settings) setPeer(args []string) {
	number, _ := strconv.Atoi(args[0])
	s.Peers[number] = args[1]
}

func (s *Settings) setWords(name string, words []string) {
	s.Values[name+".n"] = float64(len(words))
	for i, word := range words {
		s.Values[fmt.Sprintf("%s.%d", name, i)] = word
	}
}

// resolveSetting returns a path that a file sets, relative to the file's directory; empty for one that is not set.
func resolveSetting(path, file string) string {
	switch {
	case path == noValue:
		return ""
	case filepath.IsAbs(path) || file == "":
		return path
	default:
		return filepath.Join(filepath.Dir(file), path)
	}
}

// lineKey is the key of a setting in Settings.lines: its section, the section's name if it has one, and its keyword.
func lineKey(section, arg, keyword string) string {
	return strings.Join(strings.Fields(section+" "+arg+" "+keyword), " ")
}
