package bootstrap

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// noValue in place of a path or name means that the setting has no value.
const noValue = "-"

// section is a section as it appears in a file.
type section struct {
	name         string
	arg          string          // name of the instance or method that the section is for
	openingLine  Line            // zero for a section that the settings file does not have
	keywordLines map[string]Line // by keyword, the line that gives it; of a repeated keyword the last
}

// parser converts lines to settings, one after the other.
type parser struct {
	settings *Settings
	faults   Faults
	current  *section            // section that the next line belongs to; nil before the first section
	sections map[string]*section // by section name, or by methodKey
}

// Parse converts lines to settings. file is the name of the file in faults that belong to no line. If there are faults, the
// settings are incomplete.
func Parse(file string, lines []Line) (*Settings, Faults) {
	state := &parser{
		settings: &Settings{
			Values:        map[string]any{},
			Peers:         map[int]string{},
			processValues: map[string]any{},
			settingLines:  map[string]Line{},
		},
		sections: map[string]*section{},
	}
	for _, line := range lines {
		if !state.openSection(line) {
			state.parseSetting(line)
		}
	}
	state.completeSections(file)
	state.settings.Values["method.n"] = float64(len(state.settings.Methods))
	state.settings.Values["slices"] = 0.0 // only complete tables are supported, not slices of them
	return state.settings, append(state.faults, state.settings.check()...)
}

func (p *parser) fault(line Line, format string, args ...any) {
	p.faults = append(p.faults, line.Fault(format, args...))
}

// openSection makes the section that a line opens the current one. It returns false if the line opens none.
func (p *parser) openSection(line Line) bool {
	index := slices.IndexFunc(sections, func(s sectionType) bool { return s.Name == line.Words[0] })
	if index < 0 {
		return false
	}
	opened := sections[index]
	p.current = &section{name: opened.Name, openingLine: line, keywordLines: map[string]Line{}}
	wantedArgs := 0
	if opened.Arg != "" {
		wantedArgs = 1
	}
	if len(line.Words)-1 != wantedArgs {
		p.fault(line, "%s takes %d names, has %d", opened.Name, wantedArgs, len(line.Words)-1)
	}
	if len(line.Words) > 1 {
		p.current.arg = line.Words[1]
	}
	key := opened.Name
	if opened.Name == methodSection {
		key = methodKey(p.current.arg)
	}
	if first := p.sections[key]; first != nil {
		p.fault(line, "%s is given a second time, first at %s:%d", key, first.openingLine.File, first.openingLine.Number)
	} else {
		p.sections[key] = p.current
	}
	p.storeSectionName(p.current)
	return true
}

// methodKey returns the key of a method's section in parser.sections. It also begins the keys of its settings in
// Settings.settingLines.
func methodKey(method string) string { return methodSection + " " + method }

// storeSectionName stores the name that the opening line of a section gives: that of a section instance, the coordinator's name,
// in Settings.Name, and that of a section method in Settings.Methods unless it is there already. Other sections are ignored.
func (p *parser) storeSectionName(opened *section) {
	switch opened.name {
	case "instance":
		p.settings.Name = opened.arg
	case methodSection:
		if !slices.Contains(p.settings.Methods, opened.arg) {
			p.settings.Methods = append(p.settings.Methods, opened.arg)
		}
	}
}

// parseSetting parses and stores a line that sets a keyword of the current section.
func (p *parser) parseSetting(line Line) {
	word := line.Words[0]
	if p.current == nil {
		p.fault(line, "%s is outside of any section%s", word, didYouMean(word, sectionNames()))
		return
	}
	setting := findKeyword(p.current.name, word)
	if setting == nil {
		candidates := append(keywordNames(p.current.name), sectionNames()...)
		p.fault(line, "%s is not a keyword of %s%s", word, p.current.name, didYouMean(word, candidates))
		return
	}
	if first, repeated := p.current.keywordLines[word]; repeated && setting.Syntax != peerSyntax {
		p.fault(line, "%s is given a second time, first at %s:%d", word, first.File, first.Number)
		return
	}
	p.current.keywordLines[word] = line
	value, err := setting.parseValue(line.Words[1:])
	if err != nil {
		p.fault(line, "%v", err)
		return
	}
	p.settings.set(p.current, setting, value, line)
}

// completeSections stores the defaults of settings that are not given, and reports missing sections and missing required
// settings. A section that is missing and has no required settings counts as empty.
func (p *parser) completeSections(file string) {
	for _, kind := range sections {
		if kind.Name == methodSection {
			p.completeMethods(file)
			continue
		}
		if p.sections[kind.Name] == nil {
			if hasRequiredKeyword(kind.Name) {
				p.fault(Line{File: file, Number: 1}, "there is no section %s", kind.Name)
				continue
			}
			p.sections[kind.Name] = &section{name: kind.Name}
		}
		p.completeSection(p.sections[kind.Name])
	}
}

// completeMethods completes the sections of all methods, of which there must be at least one.
func (p *parser) completeMethods(file string) {
	if len(p.settings.Methods) == 0 {
		p.fault(Line{File: file, Number: 1}, "there is no section method, at least one expected")
	}
	for _, method := range p.settings.Methods {
		p.completeSection(p.sections[methodKey(method)])
	}
}

// hasRequiredKeyword reports whether a section has a keyword that must be given.
func hasRequiredKeyword(section string) bool {
	return slices.ContainsFunc(keywords, func(k keyword) bool { return k.Section == section && k.Default == required })
}

// completeSection stores the defaults of a section's settings that are not given, and reports missing required ones.
func (p *parser) completeSection(incomplete *section) {
	for i := range keywords {
		missing := &keywords[i]
		if missing.Section != incomplete.name {
			continue
		}
		if _, given := incomplete.keywordLines[missing.Name]; given {
			continue
		}
		switch {
		case missing.Default == required:
			title := strings.TrimSpace(incomplete.name + " " + incomplete.arg)
			p.fault(incomplete.openingLine, "%s lacks %s (such as: %s)", title, missing.Name, missing.Example)
		case missing.Syntax != peerSyntax:
			p.settings.set(incomplete, missing, missing.defaultValue(), incomplete.openingLine)
		}
	}
}

// defaultValue returns the parsed default.
func (k *keyword) defaultValue() any {
	value, err := k.parseValue([]string{k.Default})
	if err != nil {
		panic("bootstrap: bad default: " + err.Error()) // an error in the variable keywords, which TestReferencePage would find
	}
	return value
}

// set stores the value of a setting. line is the line that gives it, or the section's opening line for a default.
func (s *Settings) set(owner *section, setting *keyword, value any, line Line) {
	s.settingLines[lineKey(owner.name, owner.arg, setting.Name)] = line
	switch setting.Syntax {
	case peerSyntax:
		s.setPeer(value.([]string))
		return
	case wordsSyntax:
		s.setWords(setting.DecisionName, value.([]string))
		return
	case pathSyntax:
		value = resolvePathSetting(value.(string), line.File)
	}
	switch {
	case setting.DecisionName == "":
		s.processValues[setting.Name] = value
	case owner.name == methodSection:
		number := slices.Index(s.Methods, owner.arg)
		s.Values[fmt.Sprintf("method.%d.name", number)] = owner.arg
		s.Values[fmt.Sprintf("method.%d.%s", number, setting.DecisionName)] = value
	default:
		s.Values[setting.DecisionName] = value
	}
}

// setPeer stores the address of a peer under its number, which keyword.parseValue has checked.
func (s *Settings) setPeer(args []string) {
	number, _ := strconv.Atoi(args[0])
	s.Peers[number] = args[1]
}

// setWords stores a list as choice.DecodeSettings reads it: its length as name.n, its items as name.0, name.1 and so on.
func (s *Settings) setWords(name string, words []string) {
	s.Values[name+".n"] = float64(len(words))
	for i, word := range words {
		s.Values[fmt.Sprintf("%s.%d", name, i)] = word
	}
}

// resolvePathSetting returns a path that a file sets; a relative one is relative to the file's directory. It returns "" for
// noValue.
func resolvePathSetting(path, file string) string {
	switch {
	case path == noValue:
		return ""
	case filepath.IsAbs(path) || file == "":
		return path
	default:
		return filepath.Join(filepath.Dir(file), path)
	}
}

// lineKey returns the key of a setting in Settings.settingLines: its section's name, the section's argument if it has one, and its
// keyword.
func lineKey(section, arg, keyword string) string {
	return strings.Join(strings.Fields(section+" "+arg+" "+keyword), " ")
}
