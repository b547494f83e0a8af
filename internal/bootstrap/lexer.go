package bootstrap

import (
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"
)

// Line is a line of a file, split into words.
type Line struct {
	File   string
	Number int      // from 1
	Words  []string // never empty in lines returned by Lex
}

// Fault returns a fault at the line.
func (l Line) Fault(format string, args ...any) Fault {
	return Fault{File: l.File, Line: l.Number, Message: fmt.Sprintf(format, args...)}
}

var (
	errUnterminatedSingleQuote = errors.New("a single quote is never closed")
	errUnterminatedDoubleQuote = errors.New("a double quote is never closed")
	errInvalidEscape           = errors.New("within double quotes a backslash must be followed by a double quote or a backslash")
)

// controlCharacterError reports a control character outside of quotes.
type controlCharacterError byte

func (c controlCharacterError) Error() string {
	return fmt.Sprintf("control character %#02x outside of quotes", byte(c))
}

const deleteCharacter = 0x7f // the ASCII control character DEL

// Lex splits a text into lines of words and leaves out lines without words. Blanks separate words. A # at the start of a word
// begins a comment. Words in "double quotes" may contain blanks, and double quotes and backslashes after a backslash. Words in
// 'single quotes' may contain anything except single quotes. file is the file's name in lines and faults.
func Lex(file, text string) (lines []Line, faults Faults) {
	if !utf8.ValidString(text) {
		return nil, Faults{{File: file, Line: 1, Message: "the file is not UTF-8 text"}}
	}
	for i, rawLine := range strings.Split(text, "\n") {
		line := Line{File: file, Number: i + 1}
		words, err := splitWords(strings.TrimSuffix(rawLine, "\r"))
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

// wordSplitter splits a line into words.
type wordSplitter struct {
	rest   string          // the unread part of the line
	words  []string        // the complete words
	word   strings.Builder // the current word so far
	inWord bool            // a word has begun; it may still be empty, as after ""
}

// splitWords returns the words of a line up to a comment.
func splitWords(line string) ([]string, error) {
	splitter := wordSplitter{rest: line}
	for splitter.rest != "" {
		if splitter.rest[0] == '#' && !splitter.inWord {
			break
		}
		if err := splitter.readNext(); err != nil {
			return nil, err
		}
	}
	splitter.endWord()
	return splitter.words, nil
}

// readNext reads one character, or a whole part in quotes.
func (s *wordSplitter) readNext() error {
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
		return s.readSingleQuoted()
	case '"':
		return s.readDoubleQuoted()
	default:
		s.word.WriteByte(character)
		return nil
	}
}

// readSingleQuoted reads up to the closing quote; the opening one has been read.
func (s *wordSplitter) readSingleQuoted() error {
	quoted, rest, closed := strings.Cut(s.rest, "'")
	if !closed {
		return errUnterminatedSingleQuote
	}
	s.word.WriteString(quoted)
	s.rest = rest
	return nil
}

// readDoubleQuoted reads up to the closing quote; the opening one has been read.
func (s *wordSplitter) readDoubleQuoted() error {
	for s.rest != "" {
		character := s.rest[0]
		s.rest = s.rest[1:]
		if character == '"' {
			return nil
		}
		if character == '\\' {
			if s.rest == "" || s.rest[0] != '"' && s.rest[0] != '\\' {
				return errInvalidEscape
			}
			character = s.rest[0]
			s.rest = s.rest[1:]
		}
		s.word.WriteByte(character)
	}
	return errUnterminatedDoubleQuote
}

// endWord adds the current word, if there is one, to the words.
func (s *wordSplitter) endWord() {
	if !s.inWord {
		return
	}
	s.words = append(s.words, s.word.String())
	s.word.Reset()
	s.inWord = false
}

// Quote returns a word in quotes if it needs them, so that Lex reads the same word. The word must not contain a newline.
func Quote(word string) string {
	if word != "" && !strings.ContainsAny(word, " \t\"'#\\") {
		return word
	}
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(word) + `"`
}
