package scenario

import (
	"fmt"
	"slices"
	"strings"
)

const (
	maxHalvings   = 4 // how often the duration in one line of a script is halved at most
	maxReductions = 8 // how often the number in one line of a script is reduced at most
	// minHalvedMillis is the shortest duration that is halved, in milliseconds.
	minHalvedMillis = 500
	// timeAfterViolation is added to the time of the violation, rounded down to whole seconds, to give the length of a
	// minimized scenario. So the scenario ends between one and two seconds after the violation.
	timeAfterViolation = 2
)

// minimizer simplifies a script as long as the same violation occurs.
type minimizer struct {
	violation string
	lines     []string // lines of the script as simplified so far
	result    Result   // result of that script
}

// Minimize simplifies a script as long as the same violation occurs: it removes steps, halves their durations, reduces the fleet
// and shortens the scenario, in this order. It returns the simplified script and its result.
func Minimize(script, violation string, result Result) (string, Result) {
	m := &minimizer{violation: violation, lines: strings.Split(strings.TrimSpace(script), "\n"), result: result}
	m.removeSteps()
	m.shortenSteps()
	m.reduceFleet()
	m.shortenScenario()
	return joinLines(m.lines), m.result
}

func joinLines(lines []string) string { return strings.Join(lines, "\n") + "\n" }

// keepIfViolated replaces the script by a changed one if the violation still occurs with the latter, and reports whether it does.
func (m *minimizer) keepIfViolated(lines []string) bool {
	violation, result, err := playScript(joinLines(lines))
	if err != nil || violation != m.violation {
		return false
	}
	m.lines, m.result = lines, result
	return true
}

// keepLineIfViolated is keepIfViolated for a change to a single line.
func (m *minimizer) keepLineIfViolated(line int, words []string) bool {
	changed := slices.Clone(m.lines)
	changed[line] = strings.Join(words, " ")
	return m.keepIfViolated(changed)
}

func (m *minimizer) removeSteps() {
	for i := len(m.lines) - 1; i >= 0; i-- {
		if strings.HasPrefix(m.lines[i], "at ") {
			m.keepIfViolated(slices.Delete(slices.Clone(m.lines), i, i+1))
		}
	}
}

// shortenSteps halves the durations of steps, several times each.
func (m *minimizer) shortenSteps() {
	for i := range m.lines {
		for range maxHalvings {
			words, ok := halveDuration(strings.Fields(m.lines[i]))
			if !ok || !m.keepLineIfViolated(i, words) {
				break
			}
		}
	}
}

func halveDuration(words []string) ([]string, bool) {
	value := slices.Index(words, "for") + 1
	if value == 0 || value >= len(words) {
		return nil, false
	}
	var milliseconds int
	if _, err := fmt.Sscanf(words[value], "%dms", &milliseconds); err != nil || milliseconds < minHalvedMillis {
		return nil, false
	}
	words[value] = fmt.Sprintf("%dms", milliseconds/2)
	return words, true
}

// reduceFleet reduces the numbers of backends, proxies and coordinators, one participant at a time.
func (m *minimizer) reduceFleet() {
	for i := range m.lines {
		for range maxReductions {
			words, ok := reduceCount(strings.Fields(m.lines[i]))
			if !ok || !m.keepLineIfViolated(i, words) {
				break
			}
		}
	}
}

func reduceCount(words []string) ([]string, bool) {
	if len(words) < 2 || !slices.Contains([]string{"servers", "frontends", "coordinators"}, words[0]) {
		return nil, false
	}
	var count int
	if _, err := fmt.Sscanf(words[1], "%d", &count); err != nil || count < 2 {
		return nil, false
	}
	words[1] = fmt.Sprint(count - 1)
	return words, true
}

// shortenScenario makes the scenario end soon after the violation of a rule.
func (m *minimizer) shortenScenario() {
	for i, line := range m.lines {
		if !strings.HasPrefix(line, "length ") {
			continue
		}
		for _, verdict := range m.result.Report.Rules {
			if m.violation == ruleViolation(verdict.Rule) && len(m.result.Records) > 0 {
				elapsed := int(verdict.FirstTime - m.result.Records[0].Time)
				m.keepLineIfViolated(i, []string{"length", fmt.Sprintf("%ds", elapsed+timeAfterViolation)})
			}
		}
	}
}
