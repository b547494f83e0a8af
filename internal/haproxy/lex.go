package haproxy

import (
	"fmt"
	"strings"
)

// lineError is an error at a column of a line, counted from 1 in bytes.
type lineError struct {
	column int
	cause  error
}

func (e *lineError) Error() string { return e.cause.Error() }
func (e *lineError) Unwrap() error { return e.cause }

// lineLexer splits one line into arguments.
type lineLexer struct {
	text      string
	offset    int // index of the first byte of text that is not read yet
	variables map[string]string
	tokens    []Token

	// The argument that is being read; argument, begin and quoted are valid only if open is set.
	argument strings.Builder
	begin    int // index in text of the argument's first byte
	quoted   bool
	open     bool
}

// lexLine splits a line into arguments. In weak quotes (") blanks are kept, and escapes and variables are interpreted; in strong
// quotes (') everything is kept literally. A # outside quotes begins a comment.
func lexLine(text string, variables map[string]string) ([]Token, *lineError) {
	lexer := &lineLexer{text: text, variables: variables}
	for lexer.offset < len(text) {
		var err *lineError
		switch text[lexer.offset] {
		case ' ', '\t':
			lexer.endArgument()
			lexer.offset++
		case '#':
			lexer.endArgument()
			return lexer.tokens, nil
		case '\\':
			lexer.beginQuoted()
			lexer.readEscape(false)
		case '\'':
			err = lexer.readStrongQuotes()
		case '"':
			err = lexer.readWeakQuotes()
		default:
			lexer.beginArgument()
			lexer.readByte()
		}
		if err != nil {
			return nil, err
		}
	}
	lexer.endArgument()
	return lexer.tokens, nil
}

// beginArgument begins an argument unless one is open already.
func (l *lineLexer) beginArgument() {
	if l.open {
		return
	}
	l.begin, l.open, l.quoted = l.offset, true, false
	l.argument.Reset()
}

// beginQuoted begins an argument unless one is open already, and marks it as quoted.
func (l *lineLexer) beginQuoted() {
	l.beginArgument()
	l.quoted = true
}

// endArgument adds the open argument, if any, to the tokens. An empty argument is added only if it was quoted.
func (l *lineLexer) endArgument() {
	if l.open && (l.argument.Len() > 0 || l.quoted) {
		l.tokens = append(l.tokens, Token{l.argument.String(), l.begin + 1, l.quoted})
	}
	l.open = false
}

// readByte appends the next byte to the argument.
func (l *lineLexer) readByte() {
	l.argument.WriteByte(l.text[l.offset])
	l.offset++
}

// readEscape appends what the next escape sequence stands for; weak tells whether it is in weak quotes.
func (l *lineLexer) readEscape(weak bool) {
	text, length := unescape(l.text[l.offset:], weak)
	l.argument.WriteString(text)
	l.offset += length
}

// readStrongQuotes appends the text up to the closing strong quote.
func (l *lineLexer) readStrongQuotes() *lineError {
	l.beginQuoted()
	content, _, closed := strings.Cut(l.text[l.offset+1:], "'")
	if !closed {
		return &lineError{l.offset + 1, classify(ErrSyntax, "a strong quote is never closed")}
	}
	l.argument.WriteString(content)
	l.offset += len(content) + len("''")
	return nil
}

// readWeakQuotes appends the text up to the closing weak quote, with escapes and variables replaced.
func (l *lineLexer) readWeakQuotes() *lineError {
	l.beginQuoted()
	opening := l.offset
	l.offset++
	for l.offset < len(l.text) {
		switch l.text[l.offset] {
		case '"':
			l.offset++
			return nil
		case '\\':
			l.readEscape(true)
		case '$':
			if err := l.readVariable(); err != nil {
				return err
			}
		default:
			l.readByte()
		}
	}
	return &lineError{opening + 1, classify(ErrSyntax, "a weak quote is never closed")}
}

// readVariable appends the value of the next variable. The words of a list become separate arguments.
func (l *lineLexer) readVariable() *lineError {
	variable, err := expandVariable(l.text[l.offset:], l.variables)
	if err != nil {
		return &lineError{l.offset + 1, err}
	}
	if !variable.isList {
		l.argument.WriteString(variable.text)
	}
	if variable.isList {
		l.addWords(strings.Fields(variable.text))
	}
	l.offset += variable.length
	return nil
}

// addWords adds the words of a ${NAME[*]} as separate arguments. The first word continues the open argument, and the argument of
// the last one stays open.
func (l *lineLexer) addWords(words []string) {
	for i, word := range words {
		if i > 0 {
			l.endArgument()
			l.beginQuoted()
		}
		l.argument.WriteString(word)
	}
}

// unescape returns what the escape sequence at the beginning of text stands for, and its length in bytes. \$ is a sequence only in
// weak quotes. A backslash that does not begin a known sequence is kept, because regular expressions need it.
func unescape(text string, weak bool) (string, int) {
	if len(text) < 2 {
		return `\`, 1
	}
	switch c := text[1]; c {
	case ' ', '#', '\\', '"', '\'':
		return string(c), 2
	case '$':
		if weak {
			return "$", 2
		}
	case 'n':
		return "\n", 2
	case 'r':
		return "\r", 2
	case 't':
		return "\t", 2
	case 'x':
		if len(text) >= 4 && isHexDigit(text[2]) && isHexDigit(text[3]) {
			var value byte
			if _, err := fmt.Sscanf(text[2:4], "%02x", &value); err == nil {
				return string([]byte{value}), 4
			}
		}
	}
	return text[:2], 2
}

func isHexDigit(c byte) bool { return isDigit(c) || c|0x20 >= 'a' && c|0x20 <= 'f' }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isNameByte reports whether c is permitted in the name of a variable or a predicate: a letter, a digit or an underscore.
func isNameByte(c byte) bool { return c == '_' || c|0x20 >= 'a' && c|0x20 <= 'z' || isDigit(c) }
