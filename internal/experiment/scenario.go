package experiment

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/scenario"
)

const (
	scenarioSuffix     = ".day"
	maxKills           = 100000
	settingIndentation = "    "
)

// Scenario returns the scenario that an arm plays on a seed.
func (p *Plan) Scenario(arm Arm, seed uint64) (*scenario.Scenario, error) {
	name := p.substitute(arm, p.ScenarioName)
	text, err := p.scenarioText(arm, name)
	if err != nil {
		return nil, err
	}
	played, err := scenario.Read(name, text, func(file string) ([]byte, error) {
		settings, err := p.readFile(file)
		if err != nil {
			return nil, err
		}
		return p.override(arm, string(settings))
	})
	if err != nil {
		return nil, err
	}
	played.Seed = seed
	if err := p.adjust(arm, played); err != nil {
		return nil, err
	}
	return played, nil
}

// scenarioText returns the text of a scenario with the plan's additions.
func (p *Plan) scenarioText(arm Arm, name string) (string, error) {
	base, err := p.readFile(name + scenarioSuffix)
	if err != nil {
		if base, err = p.readFile(name); err != nil {
			return "", fmt.Errorf("day %s: %w", name, err)
		}
	}
	var text strings.Builder
	text.Write(base)
	for _, line := range p.additions {
		text.WriteString("\n" + strings.Join(p.quoted(arm, line.Words[1:]), " "))
	}
	text.WriteString("\n")
	return text.String(), nil
}

// quoted returns words with the values of an arm, quoted as a file needs it.
func (p *Plan) quoted(arm Arm, words []string) []string {
	quoted := make([]string, 0, len(words))
	for _, word := range words {
		quoted = append(quoted, bootstrap.Quote(p.substitute(arm, word)))
	}
	return quoted
}

// adjust changes what the plan says of the fleet's size, its load and coordinator kills.
func (p *Plan) adjust(arm Arm, played *scenario.Scenario) error {
	scale, err := p.factor(arm, p.scale)
	if err != nil {
		return err
	}
	load, err := p.factor(arm, p.load)
	if err != nil {
		return err
	}
	kills := 0
	if p.kills != "" {
		if kills, err = bootstrap.ParseInteger(p.substitute(arm, p.kills), 0, maxKills); err != nil {
			return err
		}
	}
	if scale != 1 {
		played.Scale(scale)
	}
	for i := range played.Proxies {
		played.Proxies[i].Rate *= load
	}
	played.AddCoordinatorKills(kills)
	return nil
}

// factor parses a factor above 0, as a number or in percent, which may be above 100%; 1 if there is no text.
func (p *Plan) factor(arm Arm, text string) (float64, error) {
	if text == "" {
		return 1, nil
	}
	text = p.substitute(arm, text)
	value, err := parseFactorValue(text)
	if err != nil || value <= 0 {
		return 0, fmt.Errorf("%q is no number above 0", text)
	}
	return value, nil
}

func parseFactorValue(text string) (float64, error) {
	percent, ok := strings.CutSuffix(text, "%")
	if !ok {
		return bootstrap.ParseNumber(text)
	}
	if share, err := bootstrap.ParseShare(text); err == nil {
		return share, nil
	}
	value, err := strconv.ParseFloat(percent, 64) // above 100%
	return value / 100, err
}

// override returns a settings file with the plan's settings in place of its own.
func (p *Plan) override(arm Arm, text string) ([]byte, error) {
	lines := strings.Split(text, "\n")
	for _, line := range p.overrides {
		section, keyword := line.Words[1], line.Words[2]
		setting := settingIndentation + strings.Join(p.quoted(arm, line.Words[2:]), " ")
		head, found := overrideSetting(lines, section, keyword, setting)
		if found {
			continue
		}
		if head < 0 {
			return nil, fmt.Errorf("set %s %s: the settings have no such section", section, keyword)
		}
		lines = slices.Insert(lines, head+1, setting)
	}
	return []byte(strings.Join(lines, "\n")), nil
}

// overrideSetting replaces a setting wherever it stands in a section. If it stands nowhere, found is false, and head is the
// position of the section's first line, -1 if there is no such section.
func overrideSetting(lines []string, section, keyword, setting string) (head int, found bool) {
	head = -1
	inSection := false
	for i, line := range lines {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if bootstrap.IsSection(words[0]) {
			// The section of a method is named method:NAME; method alone stands for each of them.
			inSection = words[0] == section || len(words) > 1 && words[0]+":"+words[1] == section
			if inSection && head < 0 {
				head = i
			}
			continue
		}
		if inSection && words[0] == keyword {
			lines[i], found = setting, true
		}
	}
	return head, found
}
