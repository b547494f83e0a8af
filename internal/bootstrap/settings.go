package bootstrap

import (
	"fmt"
	"slices"
	"strings"

	"gingerfork/choice"
)

// Settings are the settings of a coordinator.
type Settings struct {
	Name    string         // name of the coordinator, from the line that opens the section instance
	Values  map[string]any // settings of the decision module, in the form that choice.DecodeSettings reads
	Methods []string       // names of the methods, in the order of their numbers
	Peers   map[int]string // addresses of the other coordinators, by number

	processValues map[string]any  // settings of the program around the decision module, by keyword; times in seconds
	settingLines  map[string]Line // line that gives each setting, by lineKey; for a default the section's opening line
}

// Read reads a settings file and the files that it includes. If there are faults, it returns no settings, and the sorted Faults
// as the error.
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

// Text returns a setting of the program around the decision module that is a word, an address or a path; "" if there is none.
func (s *Settings) Text(keyword string) string {
	text, _ := s.processValues[keyword].(string)
	return text
}

// Number returns a setting of the program around the decision module that is a number or a time in seconds; 0 if there is none.
func (s *Settings) Number(keyword string) float64 {
	number, _ := s.processValues[keyword].(float64)
	return number
}

// Canonical returns all settings as text: a line for each, sorted, so that equal settings have the same text.
func (s *Settings) Canonical() string {
	lines := []string{"instance " + s.Name}
	for _, values := range []map[string]any{s.Values, s.processValues} {
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

// CoordinatorConfig returns the configuration with which the decision module of an instance is started.
func (s *Settings) CoordinatorConfig(now choice.Seconds) choice.Config {
	return choice.Config{Seed: uint64(s.Number("seed")), Now: now, Settings: choice.DecodeSettings(s.Values)}
}
