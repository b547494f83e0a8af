package scenario

import (
	"fmt"
	"slices"
	"strconv"

	"gingerfork/internal/bootstrap"
)

// Bounds of a scenario.
const (
	maxDuration     = 24 * 60 * 60 // seconds
	maxCoordinators = 100
)

// SettingsLoader returns the text of the settings file that a scenario names.
type SettingsLoader func(name string) ([]byte, error)

// reader reads a script into a scenario and gathers the faults.
type reader struct {
	file     string
	lines    []bootstrap.Line
	load     SettingsLoader
	scenario *Scenario
	faults   bootstrap.Faults
}

// statement is a kind of script line.
type statement struct {
	word string
	read func(r *reader, line bootstrap.Line) error
	// single: the line takes exactly one value.
	single bool
}

// statements are the kinds of script lines by their first word.
var statements = []statement{
	single("day", func(r *reader, value string) error {
		r.scenario.Name = value
		return nil
	}),
	single("settings", (*reader).readSettings),
	singleDuration("length", func(s *Scenario) *float64 { return &s.Duration }),
	single("seed", func(r *reader, value string) (err error) {
		r.scenario.Seed, err = strconv.ParseUint(value, 10, 63)
		return err
	}),
	single("coordinators", func(r *reader, value string) (err error) {
		r.scenario.Coordinators, err = bootstrap.ParseInteger(value, 1, maxCoordinators)
		return err
	}),
	singleDuration("line-still", func(s *Scenario) *float64 { return &s.EntryApplyTime }),
	singleDuration("connect-timeout", func(s *Scenario) *float64 { return &s.ConnectTimeout }),
	singleDuration("keep-away", func(s *Scenario) *float64 { return &s.EjectionTime }),
	singleDuration("notice", func(s *Scenario) *float64 { return &s.ExitDetectionDelay }),
	multiple("latency", (*Scenario).readLatency),
	multiple("traffic", (*Scenario).readTraffic),
	single("tokens", func(r *reader, value string) (err error) {
		r.scenario.IdempotencyScope, err = parseChoice(value, idempotencyScopes)
		return err
	}),
	multiple("clients", (*Scenario).readClients),
	multiple("mix", (*Scenario).readMethodMix),
	multiple("servers", (*Scenario).readBackends),
	multiple("frontends", (*Scenario).readProxies),
	{word: "at", read: func(r *reader, line bootstrap.Line) error {
		step, err := readStep(line)
		if err == nil {
			r.scenario.Steps = append(r.scenario.Steps, step)
		}
		return err
	}},
}

// single is a statement with exactly one value.
func single(word string, read func(r *reader, value string) error) statement {
	return statement{word: word, single: true, read: func(r *reader, line bootstrap.Line) error { return read(r, line.Words[1]) }}
}

// singleDuration is a statement with a time.
func singleDuration(word string, field func(*Scenario) *float64) statement {
	return single(word, func(r *reader, value string) (err error) {
		*field(r.scenario), err = bootstrap.ParseDuration(value)
		return err
	})
}

// multiple is a statement with any number of words.
func multiple(word string, read func(s *Scenario, words []string) error) statement {
	return statement{word: word, read: func(r *reader, line bootstrap.Line) error { return read(r.scenario, line.Words[1:]) }}
}

// Read reads a script. Its error is a bootstrap.Faults that names every fault with file and line.
func Read(file, text string, load SettingsLoader) (*Scenario, error) {
	lines, faults := bootstrap.Lex(file, text)
	scriptReader := &reader{file: file, lines: lines, load: load, faults: faults, scenario: &Scenario{
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
	word := line.Words[0]
	known := make([]string, 0, len(statements))
	for _, s := range statements {
		if s.word != word {
			known = append(known, s.word)
			continue
		}
		if s.single && len(line.Words) != 2 {
			return fmt.Errorf("%s takes one value, has %d", word, len(line.Words)-1)
		}
		return s.read(r, line)
	}
	return fmt.Errorf("unknown statement %s%s", word, suggestion(word, known))
}

// readSettings reads the settings file that the script names, with its faults.
func (r *reader) readSettings(name string) error {
	r.scenario.SettingsFile = name
	data, err := r.load(name)
	if err != nil {
		return err
	}
	lines, lexFaults := bootstrap.Lex(name, string(data))
	settings, faults := bootstrap.Parse(name, lines)
	r.faults = append(append(r.faults, lexFaults...), faults...)
	r.scenario.Settings, r.scenario.settingsLines = settings, lines
	return nil
}

// checkComplete adds a fault for each statement that every scenario needs and that is missing.
func (r *reader) checkComplete() {
	lacks := func(what string) {
		r.faults = append(r.faults, bootstrap.Fault{File: r.file, Line: 1, Message: what})
	}
	if r.scenario.Settings == nil {
		lacks("no settings (such as: settings perth.conf)")
	}
	if r.scenario.Duration <= 0 || r.scenario.Duration > maxDuration {
		lacks("no length of up to 24h (such as: length 60s)")
	}
	if !r.hasStatement("servers") || !r.hasStatement("frontends") {
		lacks("no servers, or no frontends")
	}
}

// hasStatement tells whether the script has such a line, be it a faulty one, which has its own message.
func (r *reader) hasStatement(word string) bool {
	return slices.ContainsFunc(r.lines, func(line bootstrap.Line) bool { return line.Words[0] == word })
}

// checkAgainstSettings adds the faults that only show when script and settings are compared.
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

// completeMethodMix gives equal shares to methods that the script names none for.
func (s *Scenario) completeMethodMix() {
	methods := len(s.Settings.Methods)
	for len(s.MethodMix) < methods {
		s.MethodMix = append(s.MethodMix, 1/float64(methods))
	}
}
