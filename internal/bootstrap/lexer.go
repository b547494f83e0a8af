package bootstrap

import (
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"
)

// Line is a line of a file that has words.
type Line struct {
	File   string
	Number int // from 1
	Words  []string
}

// Fault makes a fault of the line.
func (l Line) Fault(format string, args ...any) Fault {
	return Fault{File: l.File, Line: l.Number, Message: fmt.Sprintf(format, args...)}
}

var (
	errOpenSingleQuote = errors.New("a single quote is never closed")
	errOpenDoubleQuote = errors.New("a double quote is never closed")
	errBackslash       = errors.New("within double quotes a backslash stands before a quote or a backslash only")
)

// controlCharacterError reports a control character outside of quotes.
type controlCharacterError byte

func (c controlCharacterError) Error() string {
	return fmt.Sprintf("the control character %#02x can't stand here", byte(c))
}

const deleteCharacter = 0x7f

// Lex cuts a text into lines of words. Blanks separate words; a # at a word's start begins a comment; "double quotes"
// hold blanks and, with a backslash, quotes and backslashes; 'single quotes' hold anything but themselves.
func Lex(file, text string) (lines []Line, faults Faults) {
	if !utf8.ValidString(text) {
		return nil, Faults{{File: file, Line: 1, Message: "it is not UTF-8 text"}}
	}
	for i, raw := range strings.Split(text, "\n") {
		line := Line{File: file, Number: i + 1}
		words, err := splitWords(strings.TrimSuffix(raw, "\r"))
		if err != nil {
			faults = append(faults, line.Fault("%v", err))
			continue
		}
		if len(words) > 0 {
			line.Words = words
			lines = append(lines, line)
		}
	}
	return lines, faults
}

// wordSplitter splits one line.
type wordSplitter struct {
	rest   string
	words  []string
	word   strings.Builder
	inWord bool // also for an empty word in quotes
}

func splitWords(line string) ([]string, error) {
	splitter := wordSplitter{rest: line}
	for splitter.rest != "" {
		if splitter.rest[0] == '#' && !splitter.inWord {
			break
		}
		if err := splitter.next(); err != nil {
			return nil, err
		}
	}
	splitter.endWord()
	return splitter.words, nil
}

// next takes a character, or all between two quotes.
func (s *wordSplitter) next() error {
	character := s.rest[0]
	s.rest = s.rest[1:]
	switch {
	case character == ' ' || character == '\t':
		s.endWord()
		return nil
	case character < ' ' || character == deleteCharacter:
		return controlCharacterError(character)
	}
	s.inWord = true
	switch character {
	case '\'':
		return s.singleQuoted()
	case '"':
		return s.doubleQuoted()
	default:
		s.word.WriteByte(character)
		return nil
	}
}

func (s *wordSplitter) singleQuoted() error {
	quoted, rest, closed := strings.Cut(s.rest, "'")
	if !closed {
		return errOpenSingleQuote
	}
	s.word.WriteString(quoted)
	s.rest = rest
	return nil
}

func (s *wordSplitter) doubleQuoted() error {
	for s.rest != "" {
		character := s.rest[0]
		s.rest = s.rest[1:]
		if character == '"' {
			return nil
		}
		if character == '\\' {
			if s.rest == "" || s.rest[0] != '"' && s.rest[0] != '\\' {
				return errBackslash
			}
			character = s.rest[0]
			s.rest = s.rest[1:]
		}
		s.word.WriteByte(character)
	}
	return errOpenDoubleQuote
}

func (s *wordSplitter) endWord() {
	if !s.inWord {
		return
	}
	s.words = append(s.words, s.word.String())
	s.word.Reset()
	s.inWord = false
}

// Quote writes a word so that Lex reads the same word.
func Quote(word string) string {
	if word != "" && !strings.ContainsAny(word, " \t\"'#\\") {
		return word
	}
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(word) + `"`
}
