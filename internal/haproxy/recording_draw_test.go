package haproxy

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
)

// recordingDraw draws files from a seeded random source, so that they are the same on every run and machine. Any change of the
// draws or their order changes the checksums of TestRecording.
type recordingDraw struct{ *rand.Rand }

// oneOf draws one of the choices.
func (d recordingDraw) oneOf(choices ...string) string { return choices[d.IntN(len(choices))] }

// someOf draws up to maxCount of the choices, with repetition, and joins them by blanks.
func (d recordingDraw) someOf(maxCount int, choices ...string) string {
	var words []string
	for range d.IntN(maxCount + 1) {
		words = append(words, d.oneOf(choices...))
	}
	return strings.Join(words, " ")
}

// mutation draws one of the texts and changes up to six places in it.
func (d recordingDraw) mutation(texts []string) string {
	text := d.oneOf(texts...)
	for range 1 + d.IntN(6) {
		at := d.IntN(len(text) + 1)
		end := min(len(text), at+d.IntN(12))
		var inserted strings.Builder
		for range d.IntN(5) {
			inserted.WriteString(d.oneOf(strings.Split("ab1 \n\t\"'\\${}#.:[]!", "")...))
		}
		text = text[:at] + inserted.String() + text[end:]
	}
	return text
}

// file draws a file with sections of valid and invalid lines.
func (d recordingDraw) file() string {
	var text strings.Builder
	if d.IntN(20) == 0 {
		text.WriteString(d.line() + "\n")
	}
	for range 1 + d.IntN(7) {
		text.WriteString(d.section() + "\n")
		for range d.IntN(9) {
			line := d.line()
			switch d.IntN(60) {
			case 0:
				line = d.oneOf(".if ", ".elif ", ".if ") + d.condition()
			case 1:
				line = d.oneOf(".endif", ".else", ".endif", ".notice a b", ".warning c", ".diag d", ".alert no", ".other")
			case 2:
				line = ".if " + d.condition() + "\n" + line + "\n.else\n" + d.line() + "\n.endif"
			case 3:
				line = d.oneOf(`"open`, `'open`, `mode "${NO}"`, `log \x41\n`, `server "a b" h:1`, `mode "${LIST[*]}"`, `server "s${SITE}" h:1`)
			}
			text.WriteString("    " + line + "\n")
		}
	}
	return text.String()
}

// name draws the name of a backend.
func (d recordingDraw) name() string { return d.oneOf("a", "b", "c", "d", "web") }

// section draws the line that begins a section.
func (d recordingDraw) section() string {
	switch d.IntN(12) {
	case 0:
		return d.oneOf(sectionKinds...) + " " + d.someOf(2, "a", "from", "x/y")
	case 1, 2:
		return d.oneOf("defaults", "defaults base", "defaults more from base", "defaults from base", "defaults a from a", "defaults from no", "defaults 'a b'")
	case 3, 4, 5:
		return "frontend " + d.oneOf("f", "g", "f from base", "")
	case 6:
		return "listen " + d.oneOf("l", d.name())
	}
	return "backend " + d.oneOf(d.name(), d.name(), d.name(), d.name()+" from base", d.name()+" from more", d.name()+" beside", "", `"a\nb"`)
}

// value draws the value of an option.
func (d recordingDraw) value() string { return d.oneOf(recordingValues...) }

// line draws a line of a proxy section.
func (d recordingDraw) line() string {
	switch d.IntN(22) {
	case 0, 1, 2, 3, 4, 5:
		return d.oneOf("server", "server", "server", "server", "server", "server-template") + d.serverWords()
	case 6:
		return "default-server" + d.options()
	case 7:
		return "balance " + d.oneOf("roundrobin", "static-rr", "leastconn", "random(2)", "first", "source", "uri whole", "hdr(host)", "hash x", "what", "")
	case 8:
		return "timeout " + d.oneOf("server", "server", "connect", "client", "") + " " + d.value()
	case 9:
		return "retries " + d.oneOf("0", "1", "2", "3", "x", "1001", "")
	case 10:
		return "retry-on " + d.someOf(3, "none", "conn-failure", "all-retryable-errors", "503", "429", "empty-response", "404", "0rtt-rejected", "what")
	case 11:
		return "option " + d.oneOf("redispatch", "allbackups", "httplog", "")
	case 12:
		return d.oneOf("stick-table type ip size ", "stick-table type ip expire ", "stick-table size ") + d.value() + d.oneOf("", " expire "+d.value())
	case 13, 14, 15:
		return "acl " + d.oneOf("x", "y", "z") + " " + d.criterion()
	case 16, 17, 18:
		return "use_backend " + d.oneOf(d.name(), d.name(), "%[hdr(host)]", "no") + d.routeCondition()
	case 19:
		return d.oneOf("default_backend "+d.name(), "use-server s1"+d.routeCondition(), "default_backend "+d.name())
	case 20:
		return d.oneOf("mode http", "mode tcp", "mode", "hash-type consistent", "bind :80", "maxconn 5", "fullconn 3", "rate-limit 5", "description a", "id 3", "what now", "")
	}
	return d.oneOf(slices.Sorted(maps.Keys(unsupportedKeywords))...) + " " + d.someOf(2, "a", "'b c'")
}

// serverWords draws the words of a server or server-template line after the keyword.
func (d recordingDraw) serverWords() string {
	count := d.oneOf("", "", "", d.oneOf(" 2", " 1-3", " "+d.value()))
	name := fmt.Sprint(" s", d.IntN(60))
	return d.oneOf(name, name, name, name, name, name, name, name, ` "s\n"`, "") + count + " " + d.oneOf("h:1", "h:2", "10.0.0.1:80", "h:3", d.value()) + d.options()
}

// options draws up to three options of a server line, each after a blank.
func (d recordingDraw) options() string {
	var text strings.Builder
	for range d.IntN(4) {
		text.WriteString(" " + d.option())
	}
	return text.String()
}

// option draws an option of a server line.
func (d recordingDraw) option() string {
	switch d.IntN(10) {
	case 0:
		return d.oneOf("no-backup", "no-disabled", "no-check", "no-weight", "no-what", "what", "weight")
	case 1, 2:
		return d.oneOf("backup", "disabled", "enabled", "check")
	case 3:
		return "track " + d.oneOf("s", "a/s", "b/s", "no/s") + fmt.Sprint(d.IntN(20))
	case 4, 5:
		return "weight " + d.oneOf("0", "1", "5", "256", "257", "x")
	case 6:
		return d.oneOf("inter", "slowstart", "maxconn", "fall", "port", "addr", "id", "init-state", "downinter") + " " + d.value()
	case 7:
		return "init-state " + d.oneOf("up", "fully-down", "what") + " id " + fmt.Sprint(d.IntN(9))
	}
	word := d.oneOf(slices.Sorted(maps.Keys(serverOptions))...)
	if serverOptions[word].valueCount > 0 {
		word += " " + d.oneOf("1", "5s", "a", "up", "h:1")
	}
	return word
}

// criterion draws the match of an ACL: a sample fetch with its flags and patterns.
func (d recordingDraw) criterion() string {
	fetch := d.oneOf("path", "path_beg", "path_end", "path_sub", "path_reg", "method", "method_beg", "hdr(host)", "hdr_beg(host)", "hdr(accept)", "req.hdr(origin)",
		"hdr(x)", "hdr", "src", "path,lower", "hdr(a,b)", "hdr(", "")
	flags := d.oneOf("", "", "", " -i", " -n", " -m beg", " -m found", " -m reg", " -m", " -f /x", " -i -m sub", " --")
	return fetch + flags + " " + d.someOf(3, "/a", "/b", "GET", "'a b'", "host.example", "-x", `"a\tb"`)
}

// routeCondition draws the condition of a use_backend or use-server line, or none.
func (d recordingDraw) routeCondition() string {
	if d.IntN(6) == 0 {
		return ""
	}
	text := " " + d.oneOf("if", "if", "if", "unless", "unless", "when")
	for range d.IntN(6) {
		text += " " + d.oneOf("", "", "!", "! ", "!!") + d.oneOf("x", "y", "z", "x", "y", "METH_GET", "METH_POST", "TRUE", "FALSE", "LOCALHOST", "no", "or", "||",
			"{ "+d.criterion()+" }", "{ path /x }", "{ path /x")
	}
	return text
}

// condition draws the condition of an .if or .elif line.
func (d recordingDraw) condition() string {
	text := d.oneOf("", "!", "(")
	for i := range 1 + d.IntN(3) {
		if i > 0 {
			text += d.oneOf(" && ", " || ", " ")
		}
		text += d.oneOf("", "", "!") + d.oneOf("1", "0", "x", "defined(SITE)", "defined(NO)", "feature(QUIC)", "feature(NO)", "streq(a,a)", "strneq(a, b)", "strstr(abc,b)",
			"version_atleast(2.6)", "version_before(2.8.4)", "version_before(x)", "streq(a)", "what(a)", "defined(", "(1 || 0)")
	}
	return text
}
