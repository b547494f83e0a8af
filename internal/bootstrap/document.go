package bootstrap

import (
	"fmt"
	"strings"
)

const documentIntroduction = `# Settings

Written by ` + "`gingerfork settings`" + ` from the keywords themselves; a test compares this page with them.

A file consists of lines of words. A line that begins with a section's name opens the section; the lines after it are its keywords,
one a line, each at most once. Indentation and blank lines have no meaning. ` + "`#`" + ` at a word's start begins a comment. Words in
"double quotes" may contain blanks, and quotes and backslashes after a backslash; 'single quotes' may contain anything but themselves. ` + "`include FILE`" + ` stands for the
lines of that file, relative to the including file's folder; a cycle of includes is an error. Every error of a file is reported in
one run, as ` + "`file:line: what is wrong, what was expected`" + `; ` + "`gingerfork check FILE`" + ` does nothing else.

| syntax | meaning |
| --- | --- |
| TIME | a number with a unit: ` + "`us`, `ms`, `s`, `m` or `h`" + `, such as ` + "`250ms`" + ` |
| SHARE | a percentage such as ` + "`30%`" + `, or 0 to 1 |
| NUMBER, WHOLE | a number of 0 or above; a whole one |
| NAME, HOST:PORT, PATH | a word; an address; a path, relative to the file |
`

const tableHead = "| keyword | syntax | range | default | meaning | example |\n| --- | --- | --- | --- | --- | --- |\n"

// ReferencePage returns docs/settings.md. It is written from the keywords themselves, so that the two cannot differ.
func ReferencePage() string {
	var page strings.Builder
	page.WriteString(documentIntroduction)
	for _, section := range sections {
		title := strings.TrimSpace(section.Name + " " + section.Arg)
		fmt.Fprintf(&page, "\n## %s\n\n%s\n\n%s", title, section.Doc, tableHead)
		for i := range keywords {
			if keywords[i].Section == section.Name {
				page.WriteString(keywords[i].tableRow())
			}
		}
	}
	return page.String()
}

func (k *keyword) tableRow() string {
	preset := k.Default
	if preset == required {
		preset = "must be given"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s | `%s` |\n", k.Name, k.syntaxText(), k.rangeText(), preset, k.Doc, k.Example)
}

// syntaxText returns the keyword's syntax with the bars escaped that would end a cell of the table.
func (k *keyword) syntaxText() string {
	if k.Choices != nil {
		return strings.Join(k.Choices, `\|`)
	}
	return strings.ReplaceAll(k.Syntax.String(), "|", `\|`)
}

// rangeText returns the allowed values of a number, or "".
func (k *keyword) rangeText() string {
	allowed := ""
	switch {
	case k.Max > 0:
		allowed = fmt.Sprintf("%v to %v", k.Min, k.Max)
	case k.Min > 0:
		allowed = fmt.Sprintf("%v and above", k.Min)
	}
	if allowed != "" && k.Syntax == durationSyntax {
		allowed += " seconds"
	}
	return allowed
}
