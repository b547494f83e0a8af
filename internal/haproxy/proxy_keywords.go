package haproxy

import "slices"

// proxyLine is a line of a proxy section while it is imported.
type proxyLine struct {
	Line
	section *section
	index   int             // of the line in its section, notInSection if it is inherited
	pool    *Pool           // nil in frontend and defaults sections, which have no servers
	acls    map[string]bool // the names that the section has defined so far
}

// notInSection is the index of a line that a section inherits.
const notInSection = -1

// keyword is the line's first word.
func (l proxyLine) keyword() string { return l.Word(0) }

// argument is the line's second word.
func (l proxyLine) argument() string { return l.Word(1) }

// importLines imports the lines of a section; pool is nil where the section has no servers.
func (m *importer) importLines(proxy *section, pool *Pool) {
	acls := map[string]bool{}
	for i, line := range proxy.lines {
		if pool != nil && line.Word(0) == "default-server" {
			proxy.defaultServers = append(proxy.defaultServers, line)
		}
		m.importLine(proxyLine{Line: line, section: proxy, index: i, pool: pool, acls: acls})
	}
}

// importLine imports a line of a proxy section.
func (m *importer) importLine(line proxyLine) {
	if line.keyword() == "no" && len(line.Tokens) > 1 { // For example "no option httplog".
		m.note(line.Line, Dropped, "it turns off what is not carried either")
		return
	}
	if importKeyword, supported := proxyKeywords[line.keyword()]; supported {
		importKeyword(m, line)
		return
	}
	if reason, known := unsupportedKeywords[line.keyword()]; known {
		m.note(line.Line, Dropped, "%s", reason)
		return
	}
	m.note(line.Line, Dropped, "unknown keyword %s", line.keyword())
}

// proxyKeywords are the keywords whose lines are carried over or checked.
var proxyKeywords = map[string]func(*importer, proxyLine){
	"server":          (*importer).importServer,
	"server-template": (*importer).importServer,
	"default-server":  (*importer).importDefaultServer,
	"mode":            (*importer).importMode,
	"balance":         (*importer).importBalance,
	"hash-type":       (*importer).importHashType,
	"timeout":         (*importer).importTimeout,
	"retries":         (*importer).importRetries,
	"retry-on":        (*importer).importRetryOn,
	"option":          (*importer).importOption,
	"acl":             (*importer).importACL,
	"use_backend":     (*importer).importUseBackend,
	"default_backend": (*importer).importDefaultBackend,
	"use-server":      (*importer).importUseServer,
	"stick-table":     (*importer).importStickTable,
	"bind":            dropWithReason("our proxies' own listeners"),
	"maxconn":         dropWithReason(reasonProxyLimits),
	"fullconn":        dropWithReason(reasonProxyLimits),
	"rate-limit":      dropWithReason(reasonProxyLimits),
	"description":     dropWithReason("for display only"),
	"id":              dropWithReason("for display only"),
}

// dropWithReason reports a line as not carried over.
func dropWithReason(reason string) func(*importer, proxyLine) {
	return func(m *importer, line proxyLine) { m.note(line.Line, Dropped, "%s", reason) }
}

func (m *importer) importMode(line proxyLine) {
	if line.pool != nil {
		line.pool.Mode = line.argument()
	}
	m.note(line.Line, Differs, "our proxies know RPCs of methods, not %s", line.argument())
}

func (m *importer) importOption(line proxyLine) {
	switch line.argument() {
	case "redispatch":
		m.note(line.Line, Carried, "a second try always goes to another server")
	case "allbackups":
		if line.pool != nil {
			line.pool.allBackups = true
		}
		m.note(line.Line, Carried, "")
	default:
		m.note(line.Line, Dropped, "option %s has no like here", line.argument())
	}
}

// importStickTable checks the size and the expiry of a stick table; the table itself has no counterpart.
func (m *importer) importStickTable(line proxyLine) {
	for i := 1; i+1 < len(line.Tokens); i++ {
		var err error
		switch line.Word(i) {
		case "size":
			_, err = parseSize(line.Word(i + 1))
		case "expire":
			_, err = parseDuration(line.Word(i + 1))
		}
		if err != nil {
			m.fault(line.Position, ErrValue, "stick-table %s: %w", line.Word(i), err)
		}
	}
	m.note(line.Line, Dropped, "%s", reasonPersistence)
}

// importDefaultServer checks the options of a default-server line and keeps the line for the servers that follow.
func (m *importer) importDefaultServer(line proxyLine) {
	reason := "for the servers below it"
	if line.section.kind == kindDefaults {
		reason = "for the servers of the proxies that follow"
	}
	m.note(line.part(0, 1), Carried, "%s", reason)
	m.applyOptions(&Server{}, line.Line, 1)
	if line.pool == nil {
		return
	}
	proxy := line.section
	kept := slices.ContainsFunc(proxy.defaultServers, func(other Line) bool { return other.Position == line.Position })
	if !kept {
		proxy.defaultServers = append(proxy.defaultServers, line.Line)
	}
}
