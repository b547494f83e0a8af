// Package haproxy reads HAProxy's configuration format and says what of it gingerfork can take over: pools, servers,
// weights, and a list of everything else with place and reason. It is written from the public configuration manual; the
// sections named in comments are the manual's. Nothing here does I/O: files come as text, variables from a given map.
package haproxy

import (
	"fmt"
	"strings"
)

// Place is where something stands: a file, a line and a column, both from 1.
type Position struct {
	File string
	Line int
	Column  int
}

func (p Position) String() string { return fmt.Sprintf("%s:%d", p.File, p.Line) }

// Fault is what is wrong at a place.
type Fault struct {
	Position
	Message string
}

func (f Fault) String() string { return f.Position.String() + ": " + f.Message }

// Token is one argument of a line, after quotes, escapes and variables (manual, 2.2 and 2.3).
type Token struct {
	Text   string
	Col    int  // where it begins, from 1
	Quoted bool // some of it was quoted or escaped, so that an empty one counts
}

// Line is a line that has arguments.
type Line struct {
	Position
	Tokens []Token
}

// Word is an argument's text, "" beyond the last.
func (l Line) Word(i int) string {
	if i < len(l.Tokens) {
		return l.Tokens[i].Text
	}
	return ""
}

// Words are the arguments' texts.
func (l Line) Words() []string {
	all := make([]string, len(l.Tokens))
	for i, t := range l.Tokens {
		all[i] = t.Text
	}
	return all
}

// File is a file as read: Raw holds each line with its end, so that it can be written back unchanged.
type File struct {
	Name  string
	Raw   []string
	Lines []Line
}

// Text is the file as it was.
func (f File) Text() string { return strings.Join(f.Raw, "") }

// MostArgs bounds the arguments of a line (manual, 2.2: 64).
const MostArgs = 64

// Lex cuts a file into lines and arguments. A line at fault is reported and left out; the others are read all the same.
func Lex(name, text string, env map[string]string) (f File, faults []Fault) {
	f.Name = name
	for no := 1; text != ""; no++ {
		raw, rest, _ := strings.Cut(text, "\n")
		end := len(raw)
		if end < len(text) {
			end++
		}
		f.Raw = append(f.Raw, text[:end])
		text = rest
		at := Position{name, no, 1}
		tokens, col, what := lexLine(strings.TrimSuffix(raw, "\r"), env)
		switch {
		case what != "":
			at.Column = col
			faults = append(faults, Fault{at, what})
		case len(tokens) > MostArgs:
			faults = append(faults, Fault{at, fmt.Sprintf("%d arguments, %d at most", len(tokens), MostArgs)})
		case len(tokens) > 0:
			at.Column = tokens[0].Col
			f.Lines = append(f.Lines, Line{at, tokens})
		}
	}
	return f, faults
}

// lexLine reads a line's arguments: weak quotes keep blanks and let escapes and variables work, strong quotes keep all; a
// bare # begins a comment.
func lexLine(s string, env map[string]string) (tokens []Token, col int, what string) {
	var cur strings.Builder
	begin, quoted, open := 0, false, false
	start := func(i int) {
		if !open {
			begin, open, quoted = i, true, false
			cur.Reset()
		}
	}
	flush := func() {
		if open && (cur.Len() > 0 || quoted) {
			tokens = append(tokens, Token{cur.String(), begin + 1, quoted})
		}
		open = false
	}
	for i := 0; i < len(s); {
		c := s[i]
		switch c {
		case ' ', '\t':
			flush()
			i++
		case '#':
			flush()
			return tokens, 0, ""
		case '\\':
			start(i)
			quoted = true
			text, n := escape(s[i:], false)
			cur.WriteString(text)
			i += n
		case '\'':
			start(i)
			quoted = true
			end := strings.IndexByte(s[i+1:], '\'')
			if end < 0 {
				return nil, i + 1, "a strong quote is never closed"
			}
			cur.WriteString(s[i+1 : i+1+end])
			i += end + 2
		case '"':
			start(i)
			quoted = true
			from := i
			i++
			closed := false
			for i < len(s) && !closed {
				switch s[i] {
				case '"':
					closed = true
					i++
				case '\\':
					text, n := escape(s[i:], true)
					cur.WriteString(text)
					i += n
				case '$':
					v, n, bad := variable(s[i:], env)
					if bad != "" {
						return nil, i + 1, bad
					}
					if v.list { // ${NAME[*]}: each word an argument of its own
						words := strings.Fields(v.text)
						for k, w := range words {
							if k > 0 {
								flush()
								start(i)
								quoted = true
							}
							cur.WriteString(w)
						}
					} else {
						cur.WriteString(v.text)
					}
					i += n
				default:
					cur.WriteByte(s[i])
					i++
				}
			}
			if !closed {
				return nil, from + 1, "a weak quote is never closed"
			}
		default:
			start(i)
			cur.WriteByte(c)
			i++
		}
	}
	flush()
	return tokens, 0, ""
}

// escape reads what a backslash begins, and tells how many bytes that was. Before anything else the backslash stays, as
// regular expressions have it.
func escape(s string, weak bool) (string, int) {
	if len(s) < 2 {
		return `\`, 1
	}
	switch c := s[1]; c {
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
		var b byte
		if len(s) >= 4 {
			if _, err := fmt.Sscanf(s[2:4], "%02x", &b); err == nil && isHex(s[2]) && isHex(s[3]) {
				return string([]byte{b}), 4
			}
		}
	}
	return s[:2], 2
}

func isHex(c byte) bool { return c >= '0' && c <= '9' || c|32 >= 'a' && c|32 <= 'f' }

type value struct {
	text string
	list bool
}

// variable reads $NAME, ${NAME}, ${NAME-default} or ${NAME[*]}. One that is not given and has no default is a fault: what
// it would have said can't be guessed.
func variable(s string, env map[string]string) (v value, n int, bad string) {
	name := func(from int) int {
		i := from
		for i < len(s) && (s[i] == '_' || s[i]|32 >= 'a' && s[i]|32 <= 'z' || i > from && s[i] >= '0' && s[i] <= '9') {
			i++
		}
		return i
	}
	braced := len(s) > 1 && s[1] == '{'
	from := 1
	if braced {
		from = 2
	}
	end := name(from)
	if end == from {
		if braced {
			return v, 0, "a variable without a name"
		}
		return value{text: "$"}, 1, "" // a dollar by itself
	}
	text, known := env[s[from:end]]
	at := end
	if braced {
		if strings.HasPrefix(s[at:], "[*]") {
			v.list = true
			at += 3
		}
		length := strings.IndexByte(s[at:], '}')
		switch {
		case length < 0:
			return v, 0, "a variable's brace is never closed"
		case length > 0 && s[at] != '-':
			return v, 0, fmt.Sprintf("%q after a variable's name", s[at:at+length])
		case length > 0 && !known:
			text, known = s[at+1:at+length], true
		}
		at += length + 1
	}
	if !known {
		return v, 0, fmt.Sprintf("variable %s is not given (--env %s=...), and has no default", s[from:end], s[from:end])
	}
	v.text = text
	return v, at, ""
}
