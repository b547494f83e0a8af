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
	scenarioSuffix = ".day"
	maxKills       = 100000
	settingIndent  = "    "
)

// Scenario returns the scenario that is played for an arm and a seed.
func (p *Plan) Scenario(arm Arm, seed uint64) (*scenario.Scenario, error) {
	name := p.substitute(arm, p.ScenarioName)
	text, err := p.scenarioText(arm, name)
	if err != nil {
		return nil, err
	}
	armScenario, err := scenario.Read(name, text, func(file string) ([]byte, error) {
		settings, err := p.readFile(file)
		if err != nil {
			return nil, err
		}
		return p.overrideSettings(arm, string(settings))
	})
	if err != nil {
		return nil, err
	}
	armScenario.Seed = seed
	if err := p.adjustFleet(arm, armScenario); err != nil {
		return nil, err
	}
	return armScenario, nil
}

// scenarioText returns the text of a scenario, found with or without its suffix, with the lines that the plan adds.
func (p *Plan) scenarioText(arm Arm, name string) (string, error) {
	base, err := p.readFile(name + scenarioSuffix)
	if err != nil {
		if base, err = p.readFile(name); err != nil {
			return "", fmt.Errorf("scenario %s: %w", name, err)
		}
	}
	var text strings.Builder
	text.Write(base)
	for _, line := range p.additions {
		text.WriteString("\n" + strings.Join(p.substituteAndQuote(arm, line.Words[1:]), " "))
	}
	text.WriteString("\n")
	return text.String(), nil
}

// substituteAndQuote replaces placeholders in words by the values of an arm, and quotes the words as files require.
func (p *Plan) substituteAndQuote(arm Arm, words []string) []string {
	quoted := make([]string, 0, len(words))
	for _, word := range words {
		quoted = append(quoted, bootstrap.Quote(p.substitute(arm, word)))
	}
	return quoted
}

// adjustFleet applies the plan's fleet size, load and coordinator kills to a scenario.
func (p *Plan) adjustFleet(arm Arm, armScenario *scenario.Scenario) error {
	sizeMultiplier, err := p.parseMultiplier(arm, p.fleetMultiplier)
	if err != nil {
		return err
	}
	loadMultiplier, err := p.parseMultiplier(arm, p.loadMultiplier)
	if err != nil {
		return err
	}
	kills := 0
	if p.coordinatorKills != "" {
		if kills, err = bootstrap.ParseInteger(p.substitute(arm, p.coordinatorKills), 0, maxKills); err != nil {
			return err
		}
	}
	if sizeMultiplier != 1 {
		armScenario.Scale(sizeMultiplier)
	}
	for i := range armScenario.Proxies {
		armScenario.Proxies[i].Rate *= loadMultiplier
	}
	armScenario.AddCoordinatorKills(kills)
	return nil
}

// parseMultiplier parses a multiplier after substituting the values of an arm. It must be above 0 and may be a number or a
// percentage, also above 100%. An empty text means 1.
func (p *Plan) parseMultiplier(arm Arm, text string) (float64, error) {
	if text == "" {
		return 1, nil
	}
	text = p.substitute(arm, text)
	value, err := parseNumberOrPercent(text)
	if err != nil || value <= 0 {
		return 0, fmt.Errorf("%q is not a number above 0", text)
	}
	return value, nil
}

// parseNumberOrPercent parses a number, or a percentage as a share.
func parseNumberOrPercent(text string) (float64, error) {
	percent, ok := strings.CutSuffix(text, "%")
	if !ok {
		return bootstrap.ParseNumber(text)
	}
	if share, err := bootstrap.ParseShare(text); err == nil {
		return share, nil
	}
	value, err := strconv.ParseFloat(percent, 64) // ParseShare rejects shares above 100%
	return value / 100, err
}

// overrideSettings returns the text of a settings file with the plan's settings in place of its own. A setting that the file does
// not have is added at the start of its section.
func (p *Plan) overrideSettings(arm Arm, text string) ([]byte, error) {
	lines := strings.Split(text, "\n")
	for _, line := range p.overrides {
		section, keyword := line.Words[1], line.Words[2]
		setting := settingIndent + strings.Join(p.substituteAndQuote(arm, line.Words[2:]), " ")
		sectionStart, found := overrideSetting(lines, section, keyword, setting)
		if found {
			continue
		}
		if sectionStart < 0 {
			return nil, fmt.Errorf("set %s %s: the settings have no such section", section, keyword)
		}
		lines = slices.Insert(lines, sectionStart+1, setting)
	}
	return []byte(strings.Join(lines, "\n")), nil
}

// overrideSetting replaces each occurrence of a setting in a section and in sections of the same name. If there is no occurrence,
// found is false and sectionStart is the index of the section's first line, or -1 if there is no such section.
func overrideSetting(lines []string, section, keyword, setting string) (sectionStart int, found bool) {
	sectionStart = -1
	inSection := false
	for i, line := range lines {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if bootstrap.IsSection(words[0]) {
			// A plan refers to the section "method NAME" as method:NAME, and to the sections of all methods as method.
			inSection = words[0] == section || len(words) > 1 && words[0]+":"+words[1] == section
			if inSection && sectionStart < 0 {
				sectionStart = i
			}
			continue
		}
		if inSection && words[0] == keyword {
			lines[i], found = setting, true
		}
	}
	return sectionStart, found
}
