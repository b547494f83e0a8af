package bootstrap

import (
	"fmt"
	"net"
	"slices"
	"strings"
)

// syntax identifies how the value of a keyword is written.
type syntax uint8

const (
	durationSyntax syntax = iota // a number with a unit of time
	shareSyntax                  // a percentage, or a number from 0 to 1
	numberSyntax                 // a number of 0 or above, with or without a fraction
	integerSyntax                // a whole number within the keyword's bounds
	flagSyntax                   // on or off
	wordSyntax                   // one of the keyword's choices, or any word if it has none
	wordsSyntax                  // one or more words
	addressSyntax                // HOST:PORT
	pathSyntax                   // a path, relative to the directory of the file that sets it
	peerSyntax                   // NUMBER HOST:PORT; the keyword may be repeated
)

// String returns the name of the syntax in docs/settings.md.
func (s syntax) String() string {
	return [...]string{
		"TIME", "SHARE", "NUMBER", "WHOLE", "on|off", "NAME", "NAME...", "HOST:PORT", "PATH", "NUMBER HOST:PORT",
	}[s]
}

// required is the Default of a keyword that must be given.
const required = ""

const maxPort = 65535

// keyword defines a setting. docs/settings.md is generated from these definitions.
type keyword struct {
	Section      string
	Name         string
	Syntax       syntax
	Choices      []string // allowed words of wordSyntax; nil allows any
	Min          float64  // smallest allowed number; in seconds for a duration, a ratio for a share
	Max          float64  // largest allowed number, in the unit of Min; 0: no bound, but integerSyntax and peerSyntax need one
	Default      string   // value as it would be given in a settings file, or required
	DecisionName string   // the setting's key in Settings.Values; empty for a setting in Settings.processValues or Settings.Peers
	Doc          string   // description in docs/settings.md
	Example      string   // line of a settings file that sets the keyword
}

// sectionType defines a section of a settings file.
type sectionType struct {
	Name string
	Arg  string // placeholder of the argument on the line that opens the section; empty if it takes none
	Doc  string // description in docs/settings.md
}

// methodSection is the only section that may be repeated, once for each method. Its argument is the method's name.
const methodSection = "method"

// IsSection reports whether a word is the name of a section of a settings file.
func IsSection(word string) bool { return slices.Contains(sectionNames(), word) }

func sectionNames() []string {
	names := make([]string, 0, len(sections))
	for _, section := range sections {
		names = append(names, section.Name)
	}
	return names
}

func keywordNames(section string) (names []string) {
	for _, keyword := range keywords {
		if keyword.Section == section {
			names = append(names, keyword.Name)
		}
	}
	return names
}

// findKeyword returns the definition of a keyword, or nil if the section has no such keyword.
func findKeyword(section, name string) *keyword {
	for i := range keywords {
		if keywords[i].Section == section && keywords[i].Name == name {
			return &keywords[i]
		}
	}
	return nil
}

// parseValue parses the words after a keyword. It returns a float64, a string, a bool or, for wordsSyntax and peerSyntax, a
// []string. Durations are in seconds.
func (k *keyword) parseValue(args []string) (any, error) {
	switch k.Syntax {
	case wordsSyntax:
		return k.parseWords(args)
	case peerSyntax:
		return k.parsePeer(args)
	}
	if len(args) != 1 {
		return nil, fmt.Errorf("%s takes one value, has %d", k.Name, len(args))
	}
	word := args[0]
	switch k.Syntax {
	case flagSyntax:
		if word != "on" && word != "off" {
			return nil, fmt.Errorf("%s: %w", k.Name, &ValueError{word, "is neither on nor off"})
		}
		return word == "on", nil
	case wordSyntax:
		if k.Choices != nil && !slices.Contains(k.Choices, word) {
			problem := fmt.Sprintf("is not one of %s%s", strings.Join(k.Choices, ", "), didYouMean(word, k.Choices))
			return nil, fmt.Errorf("%s: %w", k.Name, &ValueError{word, problem})
		}
		return word, nil
	case pathSyntax:
		return word, nil
	case addressSyntax:
		return word, checkAddress(k.Name, word)
	default:
		return k.parseInRange(word)
	}
}

// parseWords checks that there is at least one word and that none is repeated.
func (k *keyword) parseWords(args []string) (any, error) {
	if len(args) == 0 {
		return nil, fmt.Errorf("%s takes one or more names, has none", k.Name)
	}
	for i, word := range args {
		if slices.Contains(args[:i], word) {
			return nil, fmt.Errorf("%s lists %s twice", k.Name, word)
		}
	}
	return args, nil
}

// parsePeer checks the number and the address of a peer.
func (k *keyword) parsePeer(args []string) (any, error) {
	if len(args) != 2 {
		return nil, fmt.Errorf("%s takes a number and an address, has %d words", k.Name, len(args))
	}
	if _, err := ParseInteger(args[0], 0, int(k.Max)); err != nil {
		return nil, fmt.Errorf("%s: %w", k.Name, err)
	}
	return args, checkAddress(k.Name, args[1])
}

// parseInRange parses a number and checks that it is within the keyword's bounds.
func (k *keyword) parseInRange(word string) (any, error) {
	value, err := k.parseNumeric(word)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", k.Name, err)
	}
	unit := ""
	if k.Syntax == durationSyntax {
		unit = "s"
	}
	switch {
	case k.Max > 0 && (value < k.Min || value > k.Max):
		return nil, fmt.Errorf("%s: %s is out of range, %v%s to %v%s expected", k.Name, word, k.Min, unit, k.Max, unit)
	case value < k.Min:
		return nil, fmt.Errorf("%s: %s is below %v%s", k.Name, word, k.Min, unit)
	}
	return value, nil
}

// parseNumeric parses a number in the keyword's syntax.
func (k *keyword) parseNumeric(word string) (float64, error) {
	switch k.Syntax {
	case durationSyntax:
		return ParseDuration(word)
	case shareSyntax:
		return ParseShare(word)
	case integerSyntax:
		value, err := ParseInteger(word, int(k.Min), int(k.Max))
		return float64(value), err
	default:
		return ParseNumber(word)
	}
}

// checkAddress returns an error if an address is not HOST:PORT. keyword is for the error.
func checkAddress(keyword, address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return fmt.Errorf("%s: %w", keyword, &ValueError{address, "is not an address, HOST:PORT expected (such as 127.0.0.1:7400)"})
	}
	if _, err := ParseInteger(port, 0, maxPort); err != nil {
		return fmt.Errorf("%s: port %w", keyword, err)
	}
	return nil
}
