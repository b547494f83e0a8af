package scenario

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"gingerfork/internal/bootstrap"
)

// errUnknownOption is wrapped by the error for an option that a statement does not have.
var errUnknownOption = errors.New("unknown")

// option is a keyword in a statement that takes one value.
type option struct {
	name  string
	parse func(value string) error
}

// parseOptions parses the rest of a line, which consists of pairs of option and value.
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

// suggestion returns the known word that is closest to a misspelt one, as a question in parentheses; "" if none is close.
func suggestion(word string, known []string) string {
	if nearest := bootstrap.ClosestWord(word, known); nearest != "" {
		return " (did you mean " + nearest + "?)"
	}
	return ""
}

func textOption(name string, field *string) option {
	return option{name, func(value string) error {
		*field = value
		return nil
	}}
}

// valueOption returns an option whose value is parsed by a function and stored in a field.
func valueOption[T any](name string, field *T, parse func(string) (T, error)) option {
	return option{name, func(value string) error {
		var err error
		*field, err = parse(value)
		return err
	}}
}

func durationOption(name string, field *float64) option {
	return valueOption(name, field, bootstrap.ParseDuration)
}

func shareOption(name string, field *float64) option {
	return valueOption(name, field, bootstrap.ParseShare)
}

func numberOption(name string, field *float64) option {
	return valueOption(name, field, bootstrap.ParseNumber)
}

func integerOption(name string, field *int, minimum, maximum int) option {
	return valueOption(name, field, func(value string) (int, error) { return bootstrap.ParseInteger(value, minimum, maximum) })
}

// namedValue is a value that scripts give by a word.
type namedValue[T any] struct {
	word  string
	value T
}

// parseChoice returns the value of the choice with a given word.
func parseChoice[T any](word string, choices []namedValue[T]) (T, error) {
	i := slices.IndexFunc(choices, func(c namedValue[T]) bool { return c.word == word })
	if i < 0 {
		names := make([]string, 0, len(choices))
		for _, c := range choices {
			names = append(names, c.word)
		}
		var none T
		return none, fmt.Errorf("%q is none of %s", word, strings.Join(names, ", "))
	}
	return choices[i].value, nil
}

// ParsePercent parses a percentage, which may exceed 100%, and returns it as a share: 1.5 for 150%.
func ParsePercent(word string) (float64, error) {
	digits, isPercent := strings.CutSuffix(word, "%")
	value, err := bootstrap.ParseNumber(digits)
	if !isPercent || err != nil {
		return 0, fmt.Errorf("%q is not a percentage", word)
	}
	return value / 100, nil
}
