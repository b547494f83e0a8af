package scenario

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// Attempts to shorten one line of a script.
	maxHalvings   = 4
	maxReductions = 8
	// minHalvedMillis is the shortest time, in milliseconds, that is halved.
	minHalvedMillis = 500
	// timeAfterViolation is how many seconds a minimized scenario goes on after the violation, at least one of them whole.
	timeAfterViolation = 2
)

// minimizer makes a script shorter while the same violation remains.
type minimizer struct {
	violation string
	lines     []string
	result    Result
}

// Minimize makes a script shorter as long as the same violation occurs: it removes steps, then shortens their times, then
// reduces the fleet, then ends the scenario earlier. It returns the script and its result.
func Minimize(script, violation string, result Result) (string, Result) {
	m := &minimizer{violation: violation, lines: strings.Split(strings.TrimSpace(script), "\n"), result: result}
	m.removeSteps()
	m.shortenSteps()
	m.reduceFleet()
	m.shortenScenario()
	return joinLines(m.lines), m.result
}

func joinLines(lines []string) string { return strings.Join(lines, "\n") + "\n" }

// keepIfViolated keeps the changed lines if the violation still occurs, and tells whether it does.
func (m *minimizer) keepIfViolated(lines []string) bool {
	violation, result, err := playScript(joinLines(lines))
	if err != nil || violation != m.violation {
		return false
	}
	m.lines, m.result = lines, result
	return true
}

// keepLineIfViolated is keepIfViolated with another wording of one line.
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

// shortenSteps halves the steps' durations.
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

// reduceFleet removes participants one by one.
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

// shortenScenario lets the scenario end soon after the violation.
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
