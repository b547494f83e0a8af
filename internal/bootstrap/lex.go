// Package bootstrap reads gingerfork's line-based files: the settings of a coordinator, and by its lexer other files in
// the same manner, such as scripts of days. docs/settings.md is the text for its users. Every fault of a file is
// reported in one run, each with file and line, what is wrong and what was expected.
package bootstrap

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Fault is one thing wrong with a file.
type Fault struct {
	File    string
	Line    int
	Message string
}

func (f Fault) String() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message) }

// Faults are all that is wrong. As an error they read a line each.
type Faults []Fault

func (f Faults) Error() string {
	all := make([]string, 0, len(f))
	for _, x := range f {
		all = append(all, x.String())
	}
	return strings.Join(all, "\n")
}

// Err is nil where there is no fault.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Line is one line that says something.
type Line struct {
	File   string
	Number int
	Words  []string
}

// Fault makes a fault of the line.
func (l Line) Fault(format string, args ...any) Fault {
	return Fault{l.File, l.Number, fmt.Sprintf(format, args...)}
}

// MostFile bounds a file's size in bytes: what is larger was not meant as settings.
const MaxFileSize = 4 << 20

// Lex cuts a text into lines of words. Blanks separate words; a # at a word's start begins a comment; "double quotes"
// hold blanks and, with a backslash, quotes and backslashes; 'single quotes' hold anything but themselves.
func Lex(file, text string) (lines []Line, faults Faults) {
	if !utf8.ValidString(text) {
		return nil, Faults{{file, 1, "it is not UTF-8 text"}}
	}
	for n, raw := range strings.Split(text, "\n") {
		words, err := split(strings.TrimSuffix(raw, "\r"))
		if err != "" {
			faults = append(faults, Fault{file, n + 1, err})
			continue
		}
		if len(words) > 0 {
			lines = append(lines, Line{file, n + 1, words})
		}
	}
	return lines, faults
}

func split(s string) (words []string, err string) {
	var b strings.Builder
	in := false
	end := func() {
		if in {
			words = append(words, b.String())
			b.Reset()
			in = false
		}
	}
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c == ' ' || c == '\t':
			end()
		case c == '#' && !in:
			return words, ""
		case c == '\'':
			in = true
			at := strings.IndexByte(s[i+1:], '\'')
			if at < 0 {
				return nil, "a single quote is never closed"
			}
			b.WriteString(s[i+1 : i+1+at])
			i += at + 1
		case c == '"':
			in = true
			closed := false
			for i++; i < len(s); i++ {
				if s[i] == '"' {
					closed = true
					break
				}
				if s[i] == '\\' {
					if i++; i >= len(s) || s[i] != '"' && s[i] != '\\' {
						return nil, `within double quotes a backslash stands before a quote or a backslash only`
					}
				}
				b.WriteByte(s[i])
			}
			if !closed {
				return nil, "a double quote is never closed"
			}
		case c < ' ' || c == 0x7f:
			return nil, fmt.Sprintf("the control character %#02x can't stand here", c)
		default:
			in = true
			b.WriteByte(c)
		}
	}
	end()
	return words, ""
}

// Load reads a file and what it includes (`include FILE`, from the including file's folder), in the order of reading.
// A file that includes itself, by whatever way, is a fault of the line that closes the circle.
func Load(path string) (lines []Line, faults Faults) {
	return load(path, path, nil, Line{File: path, Number: 1})
}

func load(path, shown string, within []string, from Line) (lines []Line, faults Faults) {
	full, err := filepath.Abs(path)
	if err == nil {
		if resolved, e := filepath.EvalSymlinks(full); e == nil {
			full = resolved
		}
	}
	if at := slices.Index(within, full); at >= 0 {
		return nil, Faults{from.Fault("%s includes itself (%d files deep)", shown, len(within)-at)}
	}
	if len(within) > 16 {
		return nil, Faults{from.Fault("includes are over 16 deep")}
	}
	info, err := os.Stat(path)
	if err == nil && (info.IsDir() || info.Size() > MaxFileSize) {
		return nil, Faults{from.Fault("%s is no file of at most %d bytes", shown, MaxFileSize)}
	}
	var data []byte
	if err == nil {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		why := err
		var p *os.PathError
		if errors.As(err, &p) {
			why = p.Err
		}
		return nil, Faults{from.Fault("%s can't be read: %v", shown, why)}
	}
	own, faults := Lex(shown, string(data))
	for _, l := range own {
		if l.Words[0] != "include" {
			lines = append(lines, l)
			continue
		}
		if len(l.Words) != 2 {
			faults = append(faults, l.Fault("include takes one file, has %d", len(l.Words)-1))
			continue
		}
		to, name := l.Words[1], l.Words[1]
		if !filepath.IsAbs(to) {
			to, name = filepath.Join(filepath.Dir(path), to), filepath.Join(filepath.Dir(shown), to)
		}
		more, bad := load(to, name, append(within, full), l)
		lines, faults = append(lines, more...), append(faults, bad...)
	}
	return lines, faults
}

// Sort puts faults in the order of files and lines, so that a run's report does not depend on how it was found.
func (f Faults) Sort() {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}

// Duration reads a time in seconds: a number with the unit us, ms, s, m or h. "0" needs none.
func ParseDuration(w string) (float64, error) {
	if w == "0" {
		return 0, nil
	}
	for _, u := range []struct {
		unit  string
		times float64
	}{{"us", 1e-6}, {"ms", 1e-3}, {"s", 1}, {"m", 60}, {"h", 3600}} {
		num, ok := strings.CutSuffix(w, u.unit)
		if !ok || num == "" || num[len(num)-1] < '0' || num[len(num)-1] > '9' {
			continue
		}
		v, err := decimal(num)
		return v * u.times, err
	}
	if _, err := decimal(w); err == nil {
		return 0, fmt.Errorf("%q has no unit, us, ms, s, m or h expected (such as 250ms)", w)
	}
	return 0, fmt.Errorf("%q is no time, a number and us, ms, s, m or h expected (such as 250ms)", w)
}

// Share reads a part of a whole: a percentage such as 30%, or a number from 0 to 1.
func ParseShare(w string) (float64, error) {
	num, percent := strings.CutSuffix(w, "%")
	v, err := decimal(num)
	if percent {
		v /= 100
	}
	if err != nil || v > 1 {
		return 0, fmt.Errorf("%q is no share, 0%% to 100%% or 0 to 1 expected", w)
	}
	return v, nil
}

// Number reads a number that is 0 or above.
func ParseNumber(w string) (float64, error) {
	v, err := decimal(w)
	if err != nil {
		return 0, fmt.Errorf("%q is no number of 0 or above", w)
	}
	return v, nil
}

// Whole reads a whole number with its bounds.
func ParseInteger(w string, least, most int) (int, error) {
	v, err := strconv.Atoi(w)
	if err != nil || v < least || v > most {
		return 0, fmt.Errorf("%q is no whole number from %d to %d", w, least, most)
	}
	return v, nil
}

// decimal takes plain decimals only: no signs, exponents, hex or names of infinity.
func decimal(w string) (float64, error) {
	if w == "" || len(w) > 24 || strings.Trim(w, "0123456789.") != "" || strings.Count(w, ".") > 1 || w == "." {
		return 0, fmt.Errorf("%q is no number", w)
	}
	return strconv.ParseFloat(w, 64)
}

// Nearest gives the known word that is most like w, "" if none is like it.
func ClosestWord(w string, known []string) string {
	best, least := "", len(w)/2+1
	for _, k := range known {
		if d := distance(w, k); d < least {
			best, least = k, d
		}
	}
	return best
}

// distance counts the letters to insert, delete, change or swap that make one word of another.
func distance(a, b string) int {
	if len(a) > 64 || len(b) > 64 {
		return 64
	}
	rows := make([][]int, len(a)+1)
	for i := range rows {
		rows[i] = make([]int, len(b)+1)
		rows[i][0] = i
	}
	for j := range b {
		rows[0][j+1] = j + 1
	}
	for i := 1; i <= len(a); i++ {
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			rows[i][j] = min(rows[i-1][j]+1, rows[i][j-1]+1, rows[i-1][j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				rows[i][j] = min(rows[i][j], rows[i-2][j-2]+1)
			}
		}
	}
	return rows[len(a)][len(b)]
}

// Quote writes a word so that Lex reads the same.
func Quote(w string) string {
	if w != "" && !strings.ContainsAny(w, " \t\"'#\\") {
		return w
	}
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(w) + `"`
}
