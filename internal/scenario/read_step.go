package scenario

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"gingerfork/internal/bootstrap"
)

// stepOptions parse the value that follows an option of a step, by the option's keyword.
var stepOptions = map[string]func(step *Step, value string) error{
	"by":     textStepOption(func(step *Step) *string { return &step.Argument }),
	"with":   (*Step).readFlapMode,
	"for":    durationStepOption(func(step *Step) *float64 { return &step.Duration }),
	"drain":  durationStepOption(func(step *Step) *float64 { return &step.Deploy.Drain }),
	"down":   durationStepOption(func(step *Step) *float64 { return &step.Deploy.Down }),
	"every":  (*Step).readDeployInterval,
	"zone":   textStepOption(func(step *Step) *string { return &step.Selector.Zone }),
	"kind":   textStepOption(func(step *Step) *string { return &step.Selector.Kind }),
	"number": (*Step).readIndexes,
}

// textStepOption returns a parser that stores the value in a field as it is.
func textStepOption(field func(*Step) *string) func(*Step, string) error {
	return func(step *Step, value string) error {
		*field(step) = value
		return nil
	}
}

// durationStepOption returns a parser that stores the value, a duration, in a field in seconds.
func durationStepOption(field func(*Step) *float64) func(*Step, string) error {
	return func(step *Step, value string) error { return readDuration(field(step), value) }
}

// readStep reads a line of the form: at TIME VERB TARGET [SELECTOR] [by ARGUMENT] [for TIME] [with MODE] [drain TIME] [down TIME]
// [every TIME] [zone ZONE] [kind KIND] [number N,...].
func readStep(line bootstrap.Line) (Step, error) {
	step := Step{Source: line, Deploy: defaultDeploy}
	words := line.Words
	if len(words) < 4 {
		return step, errors.New("at needs a time, a verb and a target (such as: at 10s kill servers 2 for 5s)")
	}
	if err := readDuration(&step.At, words[1]); err != nil {
		return step, err
	}
	step.Verb, step.Target = Verb(words[2]), Target(words[3])
	spec, known := verbSpecs[step.Verb]
	if !known {
		return step, fmt.Errorf("unknown verb %s%s", step.Verb, suggestion(words[2], Verbs()))
	}
	if !slices.Contains(spec.targets, step.Target) {
		return step, fmt.Errorf("%s applies to %s, not to %s", step.Verb, joinTargets(spec.targets), step.Target)
	}
	if err := step.readOptions(words[4:]); err != nil {
		return step, err
	}
	return step, step.complete(spec)
}

func joinTargets(targets []Target) string {
	names := make([]string, 0, len(targets))
	for _, target := range targets {
		names = append(names, string(target))
	}
	return strings.Join(names, " or ")
}

func readDuration(field *float64, value string) (err error) {
	*field, err = bootstrap.ParseDuration(value)
	return err
}

func (s *Step) readOptions(words []string) error {
	for len(words) > 0 {
		parse, takesValue := stepOptions[words[0]]
		if !takesValue {
			if err := s.readSelector(words[0]); err != nil {
				return err
			}
			words = words[1:]
			continue
		}
		if len(words) < 2 {
			return fmt.Errorf("%s has no value", words[0])
		}
		if err := parse(s, words[1]); err != nil {
			return err
		}
		words = words[2:]
	}
	return nil
}

// readSelector reads a word without an option before it, which selects participants: all, a percentage, a zone if the target is
// one, or a count.
func (s *Step) readSelector(word string) (err error) {
	switch {
	case word == "all": // the same as no selector
	case strings.HasSuffix(word, "%"):
		s.Selector.Share, err = bootstrap.ParseShare(word)
	case s.Target == TargetZone:
		s.Selector.Zone = word
	default:
		s.Selector.Count, err = bootstrap.ParseInteger(word, 1, maxCount)
	}
	return err
}

func (s *Step) readFlapMode(value string) error {
	s.FlapMode = FlapMode(value)
	if s.Verb != VerbFlap || !slices.Contains(flapModes, s.FlapMode) {
		return fmt.Errorf("with %s: only flap takes with, followed by crash, silence, hang or fast", value)
	}
	return nil
}

func (s *Step) readDeployInterval(value string) error {
	s.Deploy.IntervalGiven = true
	return readDuration(&s.Deploy.Interval, value)
}

func (s *Step) readIndexes(value string) error {
	for _, word := range strings.Split(value, ",") {
		index, err := bootstrap.ParseInteger(word, 0, maxCount)
		if err != nil {
			return err
		}
		s.Selector.Indexes = append(s.Selector.Indexes, index)
	}
	return nil
}

// complete parses the argument, and checks that the step has the argument and the duration that its verb needs.
func (s *Step) complete(spec verbSpec) error {
	if spec.argument != noArgument && s.Argument == "" {
		return fmt.Errorf("%s needs by and a %s", s.Verb, spec.argument)
	}
	err := s.readArgument(spec.argument)
	if spec.needsDuration && s.Duration == 0 {
		return fmt.Errorf("%s needs for and a time", s.Verb)
	}
	return err
}

// readArgument parses an argument of a numeric kind, and rewrites shares and times as plain numbers, the form that emulated
// backends take.
func (s *Step) readArgument(kind argumentKind) (err error) {
	switch kind {
	case noArgument:
		if s.Argument != "" {
			return fmt.Errorf("%s does not take by", s.Verb)
		}
	case shareArgument:
		parse := bootstrap.ParseShare
		if s.Verb == VerbLoad {
			parse = ParsePercent
		}
		s.Value, err = parse(s.Argument)
		s.Argument = formatNumber(s.Value)
	case timeArgument:
		s.Value, err = bootstrap.ParseDuration(s.Argument)
		s.Argument = formatNumber(s.Value)
	case factorArgument:
		s.Value, err = bootstrap.ParseNumber(s.Argument)
		if err == nil && s.Value <= 0 {
			return fmt.Errorf("by %s: the factor must be above 0", s.Argument)
		}
	case integerArgument:
		_, err = bootstrap.ParseInteger(s.Argument, 0, maxCount)
	case methodArgument, coordinatorArgument: // names; checkAgainstSettings checks those of methods
	}
	return err
}

func formatNumber(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }
