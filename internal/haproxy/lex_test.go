package haproxy

import (
	"strings"
	"testing"
)

// TestLexer checks quotes, escapes, variables and comments (manual, 2.2 and 2.3).
func TestLexer(t *testing.T) {
	for input, want := range map[string]string{
		`a b`:                              "a|b",
		`a\ b c#d e`:                       "a b|c",
		`a "b # 'c' \"d\"" e`:              `a|b # 'c' "d"|e`,
		`a 'b "c" \n $SITE'`:               `a|b "c" \n $SITE`,
		`a "$SITE" "${SITE}x" "${NO-d e}"`: "a|perth|perthx|d e",
		`a "${EMPTY-x}" ""`:                "a||",
		`a "x${LIST[*]}y" b`:               "a|xa|b|cy|b",
		`a $SITE`:                          "a|$SITE",
		`a \x41\x4 \# \.`:                  `a|A\x4|#|\.`,
		`a"b"'c'd`:                         "abcd",
		"  \t# only":                       "",
		`a "\$SITE" "5$"`:                  "a|$SITE|5$",
	} {
		file, faults := lexFile("a", input, map[string]string{"SITE": "perth", "LIST": "a b  c", "EMPTY": ""})
		got := ""
		if len(file.Lines) > 0 {
			got = joinWords(file.Lines[0])
		}
		if got != want || len(faults) > 0 {
			t.Errorf("%s: got %q, want %q; faults %v", input, got, want, faults)
		}
	}
	for input, want := range map[string]string{
		`a "b`: "weak quote", `a 'b`: "strong quote", `a "${NO}"`: "variable NO is not given", `a "${SITE"`: "brace is never closed",
		`a "${}"`: "without a name", strings.Repeat("x ", 65): "65 arguments",
	} {
		if _, faults := lexFile("a", "fine\n"+input+"\nfine\n", map[string]string{"SITE": "x"}); len(faults) != 1 || !strings.Contains(faults[0].Message, want) || faults[0].Line != 2 {
			t.Errorf("%s: got faults %v, want one at line 2 that contains %q", input, faults, want)
		}
	}
}

// FuzzLex checks that the text of a file is kept unchanged, and that a line whose arguments are written again in quotes is read as
// the same arguments.
func FuzzLex(f *testing.F) {
	files, err := samples.ReadDir("samples")
	if err != nil {
		f.Fatal(err)
	}
	for _, entry := range files {
		if entry.Name() != "many.cfg" {
			f.Add(sample(f, entry.Name()))
		}
	}
	variables := map[string]string{"SITE": "perth", "LIST": "a b", "EMPTY": ""}
	f.Fuzz(func(t *testing.T, text string) {
		file, _ := lexFile("a", text, variables)
		if file.Text() != text {
			t.Fatal("the text of the file was changed")
		}
		for _, line := range file.Lines {
			var quoted strings.Builder
			for _, token := range line.Tokens {
				quoted.WriteString(` "` + strings.NewReplacer(`\`, `\\`, `"`, `\"`, `$`, `\$`).Replace(token.Text) + `"`)
			}
			again, faults := lexFile("b", quoted.String(), variables)
			if strings.ContainsAny(quoted.String(), "\n\r") {
				continue // A line end in an argument can be written only as an escape sequence, which this test does not do.
			}
			if len(faults) > 0 || len(again.Lines) != 1 || joinWords(again.Lines[0]) != joinWords(line) {
				t.Fatalf("%q was written as %q and read as %v, faults %v", line.Words(), quoted.String(), again.Lines, faults)
			}
		}
	})
}
