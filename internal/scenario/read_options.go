package scenario

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"gingerfork/internal/bootstrap"
)

// errUnknownOption is wrapped by the error of a line that holds a word which its kind of line does not take.
var errUnknownOption = errors.New("unknown")

// option is a word of a script line that takes one value.
type option struct {
	name  string
	parse func(value string) error
}

// parseOptions reads the rest of a line as pairs of option and value.
func parseOptions(words []string, options ...option) error {
	if len(words)%2 != 0 {
		return fmt.Errorf("%s has no value", words[len(words)-1])
	}
	for i := 0; i < len(words); i += 2 {
		if err := parseOption(words[i], words[i+1], options); err != nil {
			return fmt.Errorf("%s: %w", words[i], err)
		}
	}
	return nil
}

func parseOption(name, value string, options []option) error {
	names := make([]string, 0, len(options))
	for _, known := range options {
		if known.name == name {
			return known.parse(value)
		}
		names = append(names, known.name)
	}
	return fmt.Errorf("%w%s", errUnknownOption, suggestion(name, names))
}

// suggestion names the known word that is closest to a misspelt one, in parentheses; "" if none is close.
func suggestion(word string, known []string) string {
	if nearest := bootstrap.ClosestWord(word, known); nearest != "" {
		return " (did you mean " + nearest + "?)"
	}
	return ""
}

func textOption(name string, into *string) option {
	return option{name, func(value string) error {
		*into = value
		return nil
	}}
}

// valueOption is an option whose value is read by a function.
func valueOption[T any](name string, into *T, parse func(string) (T, error)) option {
	return option{name, func(value string) error {
		var err error
		*into, err = parse(value)
		return err
	}}
}

func durationOption(name string, into *float64) option {
	return valueOption(name, into, bootstrap.ParseDuration)
}

func shareOption(name string, into *float64) option {
	return valueOption(name, into, bootstrap.ParseShare)
}

func numberOption(name string, into *float64) option {
	return valueOption(name, into, bootstrap.ParseNumber)
}

func integerOption(name string, into *int, minimum, maximum int) option {
	return valueOption(name, into, func(value string) (int, error) { return bootstrap.ParseInteger(value, minimum, maximum) })
}

// namedValue is a word of a script with its meaning.
type namedValue[T any] struct {
	name  string
	value T
}

// parseChoice reads one of a few words.
func parseChoice[T any](word string, choices []namedValue[T]) (T, error) {
	i := slices.IndexFunc(choices, func(c namedValue[T]) bool { return c.name == word })
	if i < 0 {
		names := make([]string, 0, len(choices))
		for _, c := range choices {
			names = append(names, c.name)
		}
		var none T
		return none, fmt.Errorf("%q is none of %s", word, strings.Join(names, ", "))
	}
	return choices[i].value, nil
}

// ParsePercent reads a percentage that may exceed 100%, as a share.
func ParsePercent(word string) (float64, error) {
	digits, isPercent := strings.CutSuffix(word, "%")
	value, err := bootstrap.ParseNumber(digits)
	if !isPercent || err != nil {
		return 0, fmt.Errorf("%q is no percentage", word)
	}
	return value / 100, nil
}
