package bootstrap

import (
	"fmt"
	"slices"
	"strings"

	"gingerfork/choice"
)

// Settings are the settings of a coordinator.
type Settings struct {
	Name    string         // of the instance
	Values  map[string]any // those of package choice, in the form that choice.DecodeSettings reads
	Methods []string       // in the order of their numbers
	Peers   map[int]string // addresses of the other coordinators, by number

	program map[string]any  // those of the program around package choice, by keyword
	lines   map[string]Line // where each setting stands, by section and keyword
}

// Read reads a settings file and what it includes. If there are faults it returns no settings, and the Faults as the error.
func Read(path string) (*Settings, error) {
	lines, faults := loadFile(path)
	settings, parseFaults := Parse(path, lines)
	faults = append(faults, parseFaults...)
	if len(faults) > 0 {
		faults.Sort()
		return nil, faults
	}
	return settings, nil
}

// Text returns a setting of the program that is a word, an address or a path; empty if there is none.
func (s *Settings) Text(keyword string) string {
	text, _ := s.program[keyword].(string)
	return text
}

// Number returns a setting of the program that is a number or a time in seconds.
func (s *Settings) Number(keyword string) float64 {
	number, _ := s.program[keyword].(float64)
	return number
}

// Canonical returns a text of all settings that is the same for the same settings: a line for each, sorted.
func (s *Settings) Canonical() string {
	lines := []string{"instance " + s.Name}
	for _, values := range []map[string]any{s.Values, s.program} {
		for name, value := range values {
			lines = append(lines, fmt.Sprintf("%s %v", name, value))
		}
	}
	for number, address := range s.Peers {
		lines = append(lines, fmt.Sprintf("peer.%d %s", number, address))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// CoordinatorConfig returns what package choice reads at the start of an instance.
func (s *Settings) CoordinatorConfig(now choice.Seconds) choice.Config {
	return choice.Config{Seed: uint64(s.Number("seed")), Now: now, Settings: choice.DecodeSettings(s.Values)}
}
