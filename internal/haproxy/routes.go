package haproxy

import (
	"fmt"
	"strings"

	"gingerfork/internal/route"
)

// dynamicNameMarker occurs in the backend name of a use_backend line if HAProxy computes that name for each request.
const dynamicNameMarker = "%["

// routeReader reads the routes of a frontend or listen section in order. After the first route that cannot be expressed exactly,
// no further route is carried over, because the later ones would also match requests that are meant for it.
type routeReader struct {
	section       *section
	acls          aclSet
	problems      map[int]string // why a line is not carried over, by the line's index in the section
	routes        []route.Route
	defaultRoute  *route.Route    // route from the keyword default_backend; nil if there is none
	catchAllLine  int             // line number of a route without a condition, after which no route is reached; 0 if there is none
	blockedReason string          // why no further route is carried over, or ""
	usedMethods   map[string]bool // method names in use: the section's name and those that earlier routes were given
}

// importRoutes reads the routes of a frontend or listen section. The lines themselves are reported later, by importLines, which
// looks up the reasons in routeProblems.
func (m *importer) importRoutes(proxy *section) {
	reader := &routeReader{
		section:     proxy,
		acls:        aclSet{termsByName: map[string][]route.Term{}, problemsByName: map[string]error{}},
		problems:    map[int]string{},
		usedMethods: map[string]bool{proxy.name: true},
	}
	for i, line := range proxy.lines {
		switch line.Word(0) {
		case "acl":
			reader.readACL(i, line)
		case "use_backend":
			reader.readUseBackend(i, line)
		case "default_backend":
			reader.defaultRoute = &route.Route{Frontend: proxy.name, Pool: line.Word(1), Method: proxy.name}
			if reader.blockedReason != "" {
				reader.problems[i] = reader.blockedReason
			}
		}
	}
	reader.addDefaultRoute()
	m.routes = append(m.routes, reader.routes...)
	proxy.routeProblems = reader.problems
}

// readACL parses an acl line. Further lines with the same name add alternatives to the ACL.
func (r *routeReader) readACL(index int, line Line) {
	if len(line.Tokens) < 3 {
		return
	}
	name := line.Word(1)
	term, err := parseMatch(line.Words()[2:])
	if err != nil {
		r.acls.problemsByName[name] = err
		r.problems[index] = err.Error()
		return
	}
	r.acls.termsByName[name] = append(r.acls.termsByName[name], term)
}

// readUseBackend adds the route of a use_backend line, or records why the line is not carried over.
func (r *routeReader) readUseBackend(index int, line Line) {
	switch {
	case r.blockedReason != "":
		r.problems[index] = r.blockedReason
		return
	case r.catchAllLine > 0:
		r.problems[index] = fmt.Sprintf("it is never reached, for line %d takes all", r.catchAllLine)
		return
	}
	added := route.Route{Frontend: r.section.name, Pool: line.Word(1), Method: r.section.name}
	if len(line.Tokens) > 2 {
		if err := r.readCondition(&added, line.Words()[2:]); err != nil {
			r.problems[index] = err.Error()
			r.blockedReason = fmt.Sprintf("the use_backend of line %d stands before it and is not carried", line.Line)
			return
		}
	}
	r.routes = append(r.routes, added)
	if len(added.Alternatives) == 0 {
		r.catchAllLine = line.Line
	}
}

// readCondition parses the condition of a route, which begins with if or unless, and names the route's method after it.
func (r *routeReader) readCondition(added *route.Route, words []string) (err error) {
	keyword, condition := words[0], words[1:]
	added.Method = r.methodName(condition)
	added.Negate = keyword == "unless"
	switch {
	case strings.Contains(added.Pool, dynamicNameMarker):
		return classify(ErrUnsupported, "its pool is reckoned for each request")
	case keyword != "if" && keyword != "unless":
		return classify(ErrSyntax, "%s is neither if nor unless", keyword)
	}
	added.Alternatives, err = parseRouteCondition(condition, r.acls)
	return err
}

// addDefaultRoute adds the route of default_backend, unless an earlier route makes it unreachable or could not be carried over. A
// listen section without default_backend serves the remaining requests itself.
func (r *routeReader) addDefaultRoute() {
	name := r.section.name
	if r.defaultRoute == nil && r.section.kind == kindListen && len(r.routes) > 0 {
		r.defaultRoute = &route.Route{Frontend: name, Pool: name, Method: name}
	}
	if r.defaultRoute != nil && r.catchAllLine == 0 && r.blockedReason == "" {
		r.routes = append(r.routes, *r.defaultRoute)
	}
}

// maxMethodNameBytes is the length in bytes beyond which a method name is not extended with more words of the route's condition.
const maxMethodNameBytes = 50

// methodName returns the name of the method for a route's requests. It is made of the frontend's name and the words of the
// condition, so that it does not change when other routes are added or removed; a number is appended to a name that is in use.
// Routes without a condition share the method that has the frontend's name.
func (r *routeReader) methodName(condition []string) string {
	var builder strings.Builder
	builder.WriteString(r.section.name)
	atWordStart := true
	for _, c := range strings.Join(condition, " ") {
		isWord := isLetterOrDigit(c) || c == '_'
		if isWord && atWordStart {
			builder.WriteByte('-')
		}
		if isWord {
			builder.WriteRune(c)
		}
		atWordStart = !isWord
		if builder.Len() > maxMethodNameBytes {
			break
		}
	}
	name := builder.String()
	for number := 2; r.usedMethods[name]; number++ {
		name = fmt.Sprintf("%s-%d", builder.String(), number)
	}
	r.usedMethods[name] = true
	return name
}

// importUseBackend checks and reports a use_backend line. In a frontend or listen section, importRoutes has already read its route.
func (m *importer) importUseBackend(line proxyLine) {
	m.checkBackendExists(line)
	m.checkConditionACLs(line)
	m.noteRoute(line)
}

// importDefaultBackend checks and reports a default_backend line. In a frontend or listen section, importRoutes has already read
// its route.
func (m *importer) importDefaultBackend(line proxyLine) {
	m.checkBackendExists(line)
	m.noteRoute(line)
}

// checkBackendExists reports a fault if the backend that a line names does not exist in any of the files.
func (m *importer) checkBackendExists(line proxyLine) {
	name := line.argument()
	if !strings.Contains(name, dynamicNameMarker) && m.backends[name] == nil {
		m.fault(line.Position, ErrUndefined, "%s %s: there is no such backend", line.keyword(), name)
	}
}

// noteRoute reports whether the route of a line was carried over and, if not, why.
func (m *importer) noteRoute(line proxyLine) {
	switch problem := line.section.routeProblems[line.index]; {
	case line.section.kind == kindDefaults:
		m.note(line.Line, Dropped, "routes are read where they stand in a frontend, not in defaults")
	case problem != "":
		m.note(line.Line, Dropped, "%s: bind methods to pools by hand", problem)
	default:
		m.note(line.Line, Carried, "a route")
	}
}

// importUseServer checks the condition of a use-server line. The line has no equivalent: a table is for a whole pool, and an RPC
// that is bound to one server could not be sent once that server is gone.
func (m *importer) importUseServer(line proxyLine) {
	m.checkConditionACLs(line)
	m.note(line.Line, Dropped, "a table is a pool's: an RPC bound to one of its servers would have none when that one is gone")
}

// maxMethods is the maximum number of methods in a pool's settings.
const maxMethods = 64

// mergeExcessMethods replaces the methods of a pool by a single one if its routes would give it more than maxMethods.
func (m *importer) mergeExcessMethods() {
	for _, pool := range m.pools {
		if names, _ := route.Methods(m.routes, pool.Name); len(names) <= maxMethods {
			continue
		}
		for i := range m.routes {
			if m.routes[i].Pool == pool.Name {
				m.routes[i].Method = allMethod
			}
		}
	}
}
