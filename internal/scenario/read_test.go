package scenario

import (
	"strings"
	"testing"
)

func TestMalformedScripts(t *testing.T) {
	base := "settings perth.conf\nlength 10s\nservers 2 capacity 30\nfrontends 1 rate 5\n"
	for line, want := range map[string]string{
		"at 5s kil servers 2":                  "unknown verb kil (did you mean kill?)",
		"at 5s kill list":                      "kill applies to servers or frontends or coordinators, not to list",
		"at 5 kill servers 2":                  `"5" has no unit`,
		"at 5s hang servers 2 for":             "for has no value",
		"at 5s cut zone dc-perth for 1s":       "zone dc-perth is not in the settings",
		"at 5s method servers 1 by sumbit":     "the settings have no method sumbit (did you mean submit?)",
		"at 5s slow servers 1":                 "slow needs by and a factor",
		"at 5s stale list":                     "stale needs for and a time",
		"at 5s kill servers number x":          `"x" is not a whole number`,
		"seed":                                 "seed takes one value, has 0",
		"servrs 3":                             "unknown statement servrs (did you mean servers?)",
		"servers 3 capcity 5":                  "capcity: unknown (did you mean capacity?)",
		"mix 50%":                              "mix has 1 shares, the settings have 2 methods",
		"at 5s load frontends all by 3 for 1s": `"3" is not a percentage`,
	} {
		_, err := Read("x.day", base+line+"\n", File)
		if err == nil || !strings.HasPrefix(err.Error(), "x.day:5: ") || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v, want %s", line, err, want)
		}
	}
	if _, err := Read("x.day", "", File); err == nil || strings.Count(err.Error(), "x.day:1") != 3 {
		t.Error(err)
	}
}
