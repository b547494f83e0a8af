package haproxy

import "slices"

// proxyLine is a line of a defaults, frontend, backend or listen section that is being imported.
type proxyLine struct {
	Line
	section *section
	index   int             // index of the line in its section, or notInSection if the line is inherited
	pool    *Pool           // the pool of a backend or listen section; nil in frontend and defaults sections, which have no servers
	acls    map[string]bool // names of the ACLs that the section has defined so far
}

// notInSection is the index of a line that a section inherits from its defaults section.
const notInSection = -1

// keyword returns the line's first word.
func (l proxyLine) keyword() string { return l.Word(0) }

// argument returns the line's second word, or "".
func (l proxyLine) argument() string { return l.Word(1) }

// importLines imports the lines of a proxy section; pool is nil if the section has no servers.
func (m *importer) importLines(proxy *section, pool *Pool) {
	acls := map[string]bool{}
	for i, line := range proxy.lines {
		if pool != nil && line.Word(0) == "default-server" {
			proxy.defaultServers = append(proxy.defaultServers, line)
		}
		m.importLine(proxyLine{Line: line, section: proxy, index: i, pool: pool, acls: acls})
	}
}

// importLine imports or reports a line according to its keyword.
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

// proxyKeywords has the function that imports, checks or reports the lines of each keyword of proxy sections. Known keywords that
// are not in proxyKeywords are in unsupportedKeywords.
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

// dropWithReason returns a function that reports a line as not carried over.
func dropWithReason(reason string) func(*importer, proxyLine) {
	return func(m *importer, line proxyLine) { m.note(line.Line, Dropped, "%s", reason) }
}

// importMode sets the pool's mode, which has no effect on its settings.
func (m *importer) importMode(line proxyLine) {
	if line.pool != nil {
		line.pool.Mode = line.argument()
	}
	m.note(line.Line, Differs, "our proxies know RPCs of methods, not %s", line.argument())
}

// importOption imports option redispatch and option allbackups. Other options have no equivalent.
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

// importStickTable checks the size and the expiry time of a stick table. The table itself has no equivalent.
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

// importDefaultServer checks the options of a default-server line, and adds the line to those that apply to later servers of the
// section, unless importLines already has.
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
	alreadyAdded := slices.ContainsFunc(proxy.defaultServers, func(other Line) bool { return other.Position == line.Position })
	if !alreadyAdded {
		proxy.defaultServers = append(proxy.defaultServers, line.Line)
	}
}
