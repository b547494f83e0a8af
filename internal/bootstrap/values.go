package bootstrap

import (
	"fmt"
	"strconv"
	"strings"
)

// maxDecimalBytes is the largest length of a number as written in a settings file, in bytes.
const maxDecimalBytes = 24

// ValueError reports a word that can't be parsed as the expected kind of value.
type ValueError struct {
	Word    string
	Problem string // what is wrong, and what was expected
}

func (e *ValueError) Error() string { return fmt.Sprintf("%q %s", e.Word, e.Problem) }

// timeUnits are the units of time. ParseDuration tries them in this order, and takes a unit only after a digit, so that ms is not
// taken for s.
var timeUnits = []struct {
	name    string
	seconds float64
}{{"us", 1e-6}, {"ms", 1e-3}, {"s", 1}, {"m", 60}, {"h", 3600}}

// ParseDuration parses a time and returns it in seconds. A time is a number with the unit us, ms, s, m or h; "0" needs no unit.
func ParseDuration(word string) (float64, error) {
	if word == "0" {
		return 0, nil
	}
	for _, unit := range timeUnits {
		digits, ok := strings.CutSuffix(word, unit.name)
		if !ok || digits == "" || !isDigit(digits[len(digits)-1]) {
			continue
		}
		value, err := parseDecimal(digits)
		return value * unit.seconds, err
	}
	if _, err := parseDecimal(word); err == nil {
		return 0, &ValueError{word, "has no unit, us, ms, s, m or h expected (such as 250ms)"}
	}
	return 0, &ValueError{word, "is not a time, a number and us, ms, s, m or h expected (such as 250ms)"}
}

func isDigit(character byte) bool { return character >= '0' && character <= '9' }

// ParseShare parses a share, which is a percentage such as 30% or a number from 0 to 1, and returns it as a number from 0 to 1.
func ParseShare(word string) (float64, error) {
	digits, percent := strings.CutSuffix(word, "%")
	value, err := parseDecimal(digits)
	if percent {
		value /= 100
	}
	if err != nil || value > 1 {
		return 0, &ValueError{word, "is not a share, 0% to 100% or 0 to 1 expected"}
	}
	return value, nil
}

// ParseNumber parses a number of 0 or above.
func ParseNumber(word string) (float64, error) {
	value, err := parseDecimal(word)
	if err != nil {
		return 0, &ValueError{word, "is not a number of 0 or above"}
	}
	return value, nil
}

// ParseInteger parses a whole number from lowest to highest.
func ParseInteger(word string, lowest, highest int) (int, error) {
	value, err := strconv.Atoi(word)
	if err != nil || value < lowest || value > highest {
		return 0, &ValueError{word, fmt.Sprintf("is not a whole number from %d to %d", lowest, highest)}
	}
	return value, nil
}

// parseDecimal parses a number in plain decimal notation. Signs, exponents, hexadecimal digits and names such as inf are errors.
func parseDecimal(word string) (float64, error) {
	if word == "" || word == "." || len(word) > maxDecimalBytes || strings.Trim(word, "0123456789.") != "" || strings.Count(word, ".") > 1 {
		return 0, &ValueError{word, "is not a number"}
	}
	return strconv.ParseFloat(word, 64)
}
