package haproxy

import (
	"strings"
	"testing"
)

// TestLexer checks quotes, escapes, variables and comments as the manual's 2.2 and 2.3 have them.
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
			t.Errorf("%s: %q, %q wanted; %v", input, got, want, faults)
		}
	}
	for input, want := range map[string]string{
		`a "b`: "weak quote", `a 'b`: "strong quote", `a "${NO}"`: "variable NO is not given", `a "${SITE"`: "brace is never closed",
		`a "${}"`: "without a name", strings.Repeat("x ", 65): "65 arguments",
	} {
		if _, faults := lexFile("a", "fine\n"+input+"\nfine\n", map[string]string{"SITE": "x"}); len(faults) != 1 || !strings.Contains(faults[0].Message, want) || faults[0].Line != 2 {
			t.Errorf("%s: %v", input, faults)
		}
	}
}

// FuzzLex checks that a line that is written again with every argument quoted is read as the same arguments.
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
	env := map[string]string{"SITE": "perth", "LIST": "a b", "EMPTY": ""}
	f.Fuzz(func(t *testing.T, text string) {
		file, _ := lexFile("a", text, env)
		if file.Text() != text {
			t.Fatal("it is not written back as it was")
		}
		for _, line := range file.Lines {
			var quoted strings.Builder
			for _, token := range line.Tokens {
				quoted.WriteString(` "` + strings.NewReplacer(`\`, `\\`, `"`, `\"`, `$`, `\$`).Replace(token.Text) + `"`)
			}
			again, faults := lexFile("b", quoted.String(), env)
			if strings.ContainsAny(quoted.String(), "\n\r") {
				continue // a line end in an argument can only be written by an escape
			}
			if len(faults) > 0 || len(again.Lines) != 1 || joinWords(again.Lines[0]) != joinWords(line) {
				t.Fatalf("%q became %q: %v %v", line.Words(), quoted.String(), again.Lines, faults)
			}
		}
	})
}
