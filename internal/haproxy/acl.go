package haproxy

import (
	"slices"
	"strings"
)

// importACL reports an acl line. In a frontend or listen section, importRoutes has already parsed its match.
func (m *importer) importACL(line proxyLine) {
	line.acls[line.argument()] = true
	switch problem := line.section.routeProblems[line.index]; {
	case line.section.kind == kindBackend || line.section.kind == kindDefaults:
		m.note(line.Line, Dropped, "matches within a pool are our proxies' own")
	case problem != "":
		m.note(line.Line, Dropped, "%s", problem)
	default:
		m.note(line.Line, Carried, "in the routes that use it")
	}
}

// checkConditionACLs reports a fault for each ACL in the condition of a line that is neither predefined nor defined before the
// line in the same section.
func (m *importer) checkConditionACLs(line proxyLine) {
	begin := slices.IndexFunc(line.Tokens, func(token Token) bool { return token.Text == "if" || token.Text == "unless" })
	if begin < 0 {
		return
	}
	anonymous := false // within the braces of an anonymous ACL
	for _, token := range line.Tokens[begin+1:] {
		name := strings.TrimPrefix(token.Text, "!")
		switch {
		case name == "{":
			anonymous = true
		case token.Text == "}":
			anonymous = false
		case anonymous, name == "", name == "or", name == "||", name == "and":
		case !line.acls[name] && !slices.Contains(predefinedACLs, name):
			m.fault(line.Position, ErrUndefined, "ACL %s is used and not defined in its section", name)
		}
	}
}

// predefinedACLs are the ACLs that HAProxy itself defines (manual, 7.4).
var predefinedACLs = []string{
	"FALSE", "TRUE", "HTTP", "HTTP_1.0", "HTTP_1.1", "HTTP_2.0", "HTTP_3.0", "HTTP_CONTENT", "HTTP_URL_ABS", "HTTP_URL_SLASH", "HTTP_URL_STAR",
	"LOCALHOST", "METH_CONNECT", "METH_DELETE", "METH_GET", "METH_HEAD", "METH_OPTIONS", "METH_POST", "METH_PUT", "METH_TRACE",
	"RDP_COOKIE", "REQ_CONTENT", "WAIT_END",
}

// methodACLs are the predefined ACLs that match HTTP methods, each with the methods that it matches (manual, 7.4).
var methodACLs = map[string][]string{
	"METH_CONNECT": {"CONNECT"}, "METH_DELETE": {"DELETE"}, "METH_GET": {"GET", "HEAD"}, "METH_HEAD": {"HEAD"},
	"METH_OPTIONS": {"OPTIONS"}, "METH_POST": {"POST"}, "METH_PUT": {"PUT"}, "METH_TRACE": {"TRACE"},
}
