package bootstrap

import (
	"fmt"
	"net"
	"slices"
	"strings"
)

// syntax is the form of a keyword's value.
type syntax uint8

const (
	durationSyntax syntax = iota
	shareSyntax
	numberSyntax
	integerSyntax
	flagSyntax    // on or off
	wordSyntax    // one of the keyword's choices, or any word if it has none
	wordsSyntax   // one or more words
	addressSyntax // HOST:PORT
	pathSyntax    // relative to the file's directory
	peerSyntax    // NUMBER HOST:PORT; the keyword may stand many times
)

// String returns the name of the syntax in the documentation.
func (s syntax) String() string {
	return [...]string{
		"TIME", "SHARE", "NUMBER", "WHOLE", "on|off", "NAME", "NAME...", "HOST:PORT", "PATH", "NUMBER HOST:PORT",
	}[s]
}

// required stands in the place of a default for a keyword that must be given.
const required = ""

const maxPort = 65535

// keyword is one setting. docs/settings.md is written from its fields.
type keyword struct {
	Section      string
	Name         string
	Syntax       syntax
	Choices      []string
	Min          float64
	Max          float64 // 0: no bound
	Default      string  // or required
	DecisionName string  // the setting's name in package choice; empty for a setting of the program around it
	Doc          string
	Example      string
}

// sectionType is a kind of section.
type sectionType struct {
	Name string
	Arg  string // what stands behind the name on the line that opens the section; empty for nothing
	Doc  string
}

// methodSection is the section that may stand many times, with the name of a method.
const methodSection = "method"

// IsSection tells whether a word opens a section of a settings file.
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

// findKeyword returns nil for an unknown keyword.
func findKeyword(section, name string) *keyword {
	for i := range keywords {
		if keywords[i].Section == section && keywords[i].Name == name {
			return &keywords[i]
		}
	}
	return nil
}

// value reads the words behind a keyword. It returns a float64, a string, a bool or, for words and peers, a []string.
func (k *keyword) value(args []string) (any, error) {
	switch k.Syntax {
	case wordsSyntax:
		return k.words(args)
	case peerSyntax:
		return k.peer(args)
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
			problem := fmt.Sprintf("is none of %s%s", strings.Join(k.Choices, ", "), didYouMean(word, k.Choices))
			return nil, fmt.Errorf("%s: %w", k.Name, &ValueError{word, problem})
		}
		return word, nil
	case pathSyntax:
		return word, nil
	case addressSyntax:
		return word, checkAddress(k.Name, word)
	default:
		return k.numeric(word)
	}
}

func (k *keyword) words(args []string) (any, error) {
	if len(args) == 0 {
		return nil, fmt.Errorf("%s takes one or more names, has none", k.Name)
	}
	for i, word := range args {
		if slices.Contains(args[:i], word) {
			return nil, fmt.Errorf("%s names %s twice", k.Name, word)
		}
	}
	return args, nil
}

func (k *keyword) peer(args []string) (any, error) {
	if len(args) != 2 {
		return nil, fmt.Errorf("%s takes a number and an address, has %d words", k.Name, len(args))
	}
	if _, err := ParseInteger(args[0], 0, int(k.Max)); err != nil {
		return nil, fmt.Errorf("%s: %w", k.Name, err)
	}
	return args, checkAddress(k.Name, args[1])
}

// numeric reads a float64 within the keyword's bounds.
func (k *keyword) numeric(word string) (any, error) {
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

func checkAddress(keyword, address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return fmt.Errorf("%s: %w", keyword, &ValueError{address, "is no address, HOST:PORT expected (such as 127.0.0.1:7400)"})
	}
	if _, err := ParseInteger(port, 0, maxPort); err != nil {
		return fmt.Errorf("%s: port %w", keyword, err)
	}
	return nil
}
