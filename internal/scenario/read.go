package scenario

import (
	"fmt"
	"slices"
	"strconv"

	"gingerfork/internal/bootstrap"
)

// Upper bounds of the duration and the number of coordinators of a scenario.
const (
	maxDuration     = 24 * 60 * 60 // seconds
	maxCoordinators = 100
)

// SettingsLoader returns the content of the settings file that a script names.
type SettingsLoader func(name string) ([]byte, error)

// reader reads a script into a scenario and collects the faults in the script.
type reader struct {
	file         string // name of the script, for faults
	lines        []bootstrap.Line
	loadSettings SettingsLoader
	scenario     *Scenario
	faults       bootstrap.Faults
}

// statement is a kind of script line.
type statement struct {
	keyword       string // first word of the line
	parse         func(r *reader, line bootstrap.Line) error
	takesOneValue bool // exactly one value follows the keyword
}

// statements are all kinds of script lines.
var statements = []statement{
	singleValueStatement("day", func(r *reader, value string) error {
		r.scenario.Name = value
		return nil
	}),
	singleValueStatement("settings", (*reader).readSettings),
	durationStatement("length", func(s *Scenario) *float64 { return &s.Duration }),
	singleValueStatement("seed", func(r *reader, value string) (err error) {
		r.scenario.Seed, err = strconv.ParseUint(value, 10, 63)
		return err
	}),
	singleValueStatement("coordinators", func(r *reader, value string) (err error) {
		r.scenario.Coordinators, err = bootstrap.ParseInteger(value, 1, maxCoordinators)
		return err
	}),
	durationStatement("line-still", func(s *Scenario) *float64 { return &s.EntryApplyTime }),
	durationStatement("connect-timeout", func(s *Scenario) *float64 { return &s.ConnectTimeout }),
	durationStatement("keep-away", func(s *Scenario) *float64 { return &s.EjectionTime }),
	durationStatement("notice", func(s *Scenario) *float64 { return &s.ExitDetectionDelay }),
	wordsStatement("latency", (*Scenario).readLatency),
	wordsStatement("traffic", (*Scenario).readTraffic),
	singleValueStatement("tokens", func(r *reader, value string) (err error) {
		r.scenario.IdempotencyScope, err = parseChoice(value, idempotencyScopes)
		return err
	}),
	wordsStatement("clients", (*Scenario).readClients),
	wordsStatement("mix", (*Scenario).readMethodMix),
	wordsStatement("servers", (*Scenario).readBackends),
	wordsStatement("frontends", (*Scenario).readProxies),
	{keyword: "at", parse: func(r *reader, line bootstrap.Line) error {
		step, err := readStep(line)
		if err == nil {
			r.scenario.Steps = append(r.scenario.Steps, step)
		}
		return err
	}},
}

// singleValueStatement returns a statement with exactly one value, which parse receives.
func singleValueStatement(keyword string, parse func(r *reader, value string) error) statement {
	return statement{keyword: keyword, takesOneValue: true, parse: func(r *reader, line bootstrap.Line) error { return parse(r, line.Words[1]) }}
}

// durationStatement returns a statement whose value is a duration, which it stores in a field of the scenario in seconds.
func durationStatement(keyword string, field func(*Scenario) *float64) statement {
	return singleValueStatement(keyword, func(r *reader, value string) (err error) {
		*field(r.scenario), err = bootstrap.ParseDuration(value)
		return err
	})
}

// wordsStatement returns a statement with any number of words after the keyword, which parse receives.
func wordsStatement(keyword string, parse func(s *Scenario, words []string) error) statement {
	return statement{keyword: keyword, parse: func(r *reader, line bootstrap.Line) error { return parse(r.scenario, line.Words[1:]) }}
}

// Read reads a script and the settings file that it names. Its error is a bootstrap.Faults with all faults in both, each with its
// file and line.
func Read(file, text string, load SettingsLoader) (*Scenario, error) {
	lines, faults := bootstrap.Lex(file, text)
	scriptReader := &reader{file: file, lines: lines, loadSettings: load, faults: faults, scenario: &Scenario{
		Seed: 1, Coordinators: 1, EntryApplyTime: 0.0002, ConnectTimeout: 0.25, EjectionTime: 5, ExitDetectionDelay: 1,
		ZoneLatency: 0.0003, CrossZoneLatency: 0.0006,
	}}
	for _, line := range lines {
		if err := scriptReader.readLine(line); err != nil {
			scriptReader.addFault(line, "%v", err)
		}
	}
	scriptReader.checkComplete()
	if scriptReader.scenario.Settings != nil {
		scriptReader.checkAgainstSettings()
		scriptReader.scenario.completeMethodMix()
	}
	scriptReader.faults.Sort()
	return scriptReader.scenario, scriptReader.faults.Err()
}

func (r *reader) addFault(line bootstrap.Line, format string, args ...any) {
	r.faults = append(r.faults, line.Fault(format, args...))
}

func (r *reader) readLine(line bootstrap.Line) error {
	keyword := line.Words[0]
	known := make([]string, 0, len(statements))
	for _, s := range statements {
		if s.keyword != keyword {
			known = append(known, s.keyword)
			continue
		}
		if s.takesOneValue && len(line.Words) != 2 {
			return fmt.Errorf("%s takes one value, has %d", keyword, len(line.Words)-1)
		}
		return s.parse(r, line)
	}
	return fmt.Errorf("unknown statement %s%s", keyword, suggestion(keyword, known))
}

// readSettings reads the settings file that the script names, and adds its faults to those of the script.
func (r *reader) readSettings(name string) error {
	r.scenario.SettingsFile = name
	data, err := r.loadSettings(name)
	if err != nil {
		return err
	}
	lines, lexFaults := bootstrap.Lex(name, string(data))
	settings, faults := bootstrap.Parse(name, lines)
	r.faults = append(append(r.faults, lexFaults...), faults...)
	r.scenario.Settings, r.scenario.settingsLines = settings, lines
	return nil
}

// checkComplete adds a fault for each statement that every script needs and this one lacks.
func (r *reader) checkComplete() {
	addScriptFault := func(message string) {
		r.faults = append(r.faults, bootstrap.Fault{File: r.file, Line: 1, Message: message})
	}
	if r.scenario.Settings == nil {
		addScriptFault("the script names no settings file (such as: settings perth.conf)")
	}
	if r.scenario.Duration <= 0 || r.scenario.Duration > maxDuration {
		addScriptFault("the script has no length above 0 and up to 24h (such as: length 60s)")
	}
	if !r.hasStatement("servers") || !r.hasStatement("frontends") {
		addScriptFault("the script has no servers or no frontends (such as: servers 4)")
	}
}

// hasStatement reports whether the script has a line with a keyword. A faulty line counts, as it has a fault of its own already.
func (r *reader) hasStatement(keyword string) bool {
	return slices.ContainsFunc(r.lines, func(line bootstrap.Line) bool { return line.Words[0] == keyword })
}

// checkAgainstSettings adds the faults of lines that contradict the settings: unknown zones and methods, and shares of a mix
// that do not match the number of methods.
func (r *reader) checkAgainstSettings() {
	zones, methods := r.scenario.Zones(), r.scenario.Settings.Methods
	for _, line := range r.lines {
		r.checkZones(line, zones)
		if shares := len(line.Words) - 1; line.Words[0] == "mix" && shares != len(methods) {
			r.addFault(line, "mix has %d shares, the settings have %d methods", shares, len(methods))
		}
	}
	for _, step := range r.scenario.Steps {
		if step.Verb == VerbFailMethod && !slices.Contains(methods, step.Argument) {
			r.addFault(step.Source, "the settings have no method %s%s", step.Argument, suggestion(step.Argument, methods))
		}
	}
}

func (r *reader) checkZones(line bootstrap.Line, zones []string) {
	if line.Words[0] == "settings" {
		return
	}
	for i, word := range line.Words[:len(line.Words)-1] {
		zone := line.Words[i+1]
		if word == "zone" && !slices.Contains(zones, zone) {
			r.addFault(line, "zone %s is not in the settings%s", zone, suggestion(zone, zones))
		}
	}
}

// completeMethodMix gives each method without a share in the script the share 1/n, where n is the number of methods.
func (s *Scenario) completeMethodMix() {
	methods := len(s.Settings.Methods)
	for len(s.MethodMix) < methods {
		s.MethodMix = append(s.MethodMix, 1/float64(methods))
	}
}
