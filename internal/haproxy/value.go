package haproxy

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// timeUnits are the suffixes of times, each with its length in seconds (manual, 2.5). A unit whose name ends in the name of
// another precedes that one.
var timeUnits = []struct {
	suffix  string
	seconds float64
}{{"us", 1e-6}, {"ms", 1e-3}, {"s", 1}, {"m", 60}, {"h", 3600}, {"d", 86400}}

// parseDuration parses a time and returns it in seconds: a number with the unit us, ms, s, m, h or d, or a number of milliseconds.
func parseDuration(text string) (float64, error) {
	for _, unit := range timeUnits {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		if number, err := strconv.ParseUint(digits, 10, 31); err == nil {
			return float64(number) * unit.seconds, nil
		}
	}
	milliseconds, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0, &ValueError{text, "time, such as 500, 30s or 5m"}
	}
	return float64(milliseconds) / 1000, nil
}

// parseSize parses a size and returns it in bytes: a number, optionally with the unit k, m or g.
func parseSize(text string) (int64, error) {
	digits, factor := text, int64(1)
	if length := len(text); length > 1 {
		switch text[length-1] | 0x20 {
		case 'k':
			factor, digits = 1<<10, text[:length-1]
		case 'm':
			factor, digits = 1<<20, text[:length-1]
		case 'g':
			factor, digits = 1<<30, text[:length-1]
		}
	}
	number, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || number < 0 || number > math.MaxInt64/factor {
		return 0, &ValueError{digits, "size, such as 500, 16k or 2m"}
	}
	return number * factor, nil
}

// parseInteger parses a whole number between lowest and highest, inclusive.
func parseInteger(text string, lowest, highest int) (int, error) {
	number, err := strconv.Atoi(text)
	if err != nil || number < lowest || number > highest {
		return 0, &ValueError{text, fmt.Sprintf("whole number from %d to %d", lowest, highest)}
	}
	return number, nil
}
