package bootstrap

import (
	"fmt"
	"strings"
)

// Document is docs/settings.md: it is written from the keywords themselves, so that it can't say other than they do.
func Document() string {
	var b strings.Builder
	b.WriteString(`# Settings

Written by ` + "`gingerfork settings`" + ` from the keywords themselves; a test holds this page against them.

A file is lines of words. A line that begins with a section's name opens it; the lines after it are its keywords, one a
line, each at most once. Indents and blank lines mean nothing. ` + "`#`" + ` at a word's start begins a comment. "Double quotes" hold
blanks, and quotes and backslashes behind a backslash; 'single quotes' hold anything else. ` + "`include FILE`" + ` stands for the
lines of that file, looked for from the including file's folder; circles are faults. Every fault of a file is reported in
one run, as ` + "`file:line: what is wrong, what was expected`" + `; ` + "`gingerfork check FILE`" + ` does nothing else.

| syntax | meaning |
| --- | --- |
| TIME | a number with a unit: ` + "`us`, `ms`, `s`, `m` or `h`" + `, such as ` + "`250ms`" + ` |
| SHARE | a percentage such as ` + "`30%`" + `, or 0 to 1 |
| NUMBER, WHOLE | a number of 0 or above; a whole one |
| NAME, HOST:PORT, PATH | a word; an address; a path, relative to the file |
`)
	for _, s := range Sections {
		fmt.Fprintf(&b, "\n## %s\n\n%s\n\n| keyword | syntax | range | default | meaning | example |\n| --- | --- | --- | --- | --- | --- |\n",
			strings.TrimSpace(s.Name+" "+s.Arg), s.Doc)
		for _, k := range Keywords {
			if k.Section != s.Name {
				continue
			}
			syntax := k.Syntax.String()
			if k.Choices != nil {
				syntax = strings.Join(k.Choices, `\|`)
			}
			span := ""
			switch {
			case k.Max > 0:
				span = fmt.Sprintf("%v to %v", k.Min, k.Max)
			case k.Min > 0:
				span = fmt.Sprintf("%v and above", k.Min)
			}
			if span != "" && k.Syntax == duration {
				span += " seconds"
			}
			def := k.Default
			if def == need {
				def = "must be given"
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | `%s` |\n", k.Name, strings.ReplaceAll(syntax, "on|off", `on\|off`), span, def, k.Doc, k.Example)
		}
	}
	return b.String()
}
