package haproxy

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"gingerfork/internal/route"
)

// Source is a file's text under its name.
type Source struct{ Name, Text string }

// Import is what became of some files.
type Import struct {
	Files  []File
	Pools  []Pool // in the files' order
	Routes []route.Route
	Notes  []Note // in the files' order
	Faults []Fault
}

// Counts are the notes' numbers by class.
func (i Import) Counts() (n [classes]int) {
	for _, x := range i.Notes {
		n[x.Class]++
	}
	return n
}

// section is a section with what it has of its defaults.
type section struct {
	Place
	kind, name string
	defaults   *section
	lines      []Line
	inexact    map[int]string // by line: why its match is not carried
	server     []Line         // default-server lines, its defaults' first
}

type importer struct {
	Import
	sections []*section
	named    map[string]*section // defaults by name
	pools    map[string]*section // backends and listens by name
}

// Read imports files in their order, as if they were one. It goes on after faults, so that all are told at once.
func Read(sources []Source, g Given) Import {
	m := &importer{named: map[string]*section{}, pools: map[string]*section{}}
	var lines []Line
	for _, s := range sources {
		f, faults := Lex(s.Name, s.Text, g.Env)
		m.Files, m.Faults = append(m.Files, f), append(m.Faults, faults...)
		kept, left, notes, more := Choose(f, g)
		m.Notes, m.Faults = append(m.Notes, notes...), append(m.Faults, more...)
		for _, l := range left {
			m.note(l, Dropped, "in a block whose condition does not hold")
		}
		lines = append(lines, kept...)
	}
	m.cut(lines)
	for _, s := range m.sections {
		m.take(s)
	}
	m.tracks()
	m.narrow()
	order := map[string]int{}
	for i, f := range m.Files {
		order[f.Name] = i
	}
	place := func(a, b Place) int {
		if a.File != b.File {
			return order[a.File] - order[b.File]
		}
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Col - b.Col
	}
	slices.SortStableFunc(m.Notes, func(a, b Note) int { return place(a.Line.Place, b.Line.Place) })
	slices.SortStableFunc(m.Faults, func(a, b Fault) int { return place(a.Place, b.Place) })
	return m.Import
}

func (m *importer) note(l Line, c Class, why string, args ...any) {
	m.Notes = append(m.Notes, Note{l, c, fmt.Sprintf(why, args...)})
}

func (m *importer) fault(at Place, what string, args ...any) {
	m.Faults = append(m.Faults, Fault{at, fmt.Sprintf(what, args...)})
}

// words is a line with some of its words only.
func words(l Line, from, to int) Line {
	to = min(to, len(l.Tokens))
	x := Line{l.Place, l.Tokens[min(from, to):to]}
	if len(x.Tokens) > 0 {
		x.Col = x.Tokens[0].Col
	}
	return x
}

var kinds = []string{
	"global", "defaults", "frontend", "backend", "listen", "resolvers", "peers", "mailers", "userlist", "cache", "program",
	"ring", "http-errors", "log-forward", "log-profile", "crt-store", "fcgi-app", "traces", "acme",
}

// cut makes sections of lines. A proxy has the defaults that it names by from, else the last anonymous or named one
// before it; a defaults section may follow another (manual, 4).
func (m *importer) cut(lines []Line) {
	var cur, defaults *section
	for _, l := range lines {
		word := l.Word(0)
		if !slices.Contains(kinds, word) {
			if cur == nil {
				m.fault(l.Place, "%s before any section", word)
				m.note(l, Dropped, "it stands before any section")
				continue
			}
			cur.lines = append(cur.lines, l)
			continue
		}
		s := &section{Place: l.Place, kind: word}
		rest := l.Words()[1:]
		unnamed := len(rest) == 0 || word == "defaults" && rest[0] == "from"
		if !unnamed {
			s.name, rest = rest[0], rest[1:]
		}
		class, why := Dropped, "a section that concerns HAProxy itself"
		switch word {
		case "defaults", "backend", "listen":
			class, why = Carried, ""
		case "frontend":
			class, why = Differs, "our proxies are the front ends; its pools are carried"
		}
		m.note(l, class, "%s", why)
		if word == "defaults" || word == "frontend" || word == "backend" || word == "listen" {
			s.defaults = defaults
			if word == "defaults" {
				s.defaults = nil // it starts anew unless it says from
			}
			if len(rest) >= 2 && rest[0] == "from" {
				if s.defaults = m.named[rest[1]]; s.defaults == nil {
					if rest[1] == s.name && word == "defaults" {
						m.fault(l.Place, "defaults %s follow themselves, in a circle", s.name)
					} else {
						m.fault(l.Place, "from %s: no such defaults before this line", rest[1])
					}
				}
			} else if len(rest) > 0 {
				m.fault(l.Place, "%s after the section's name", strings.Join(rest, " "))
			}
			if word != "defaults" && s.name == "" {
				m.fault(l.Place, "a %s without a name", word)
			}
		}
		if c := strange(s.name); c != "" && slices.Contains([]string{"defaults", "frontend", "backend", "listen"}, word) {
			m.fault(l.Place, "%q is not permitted in the name of a %s", c, word)
		}
		switch word {
		case "defaults":
			if s.name != "" {
				if m.named[s.name] != nil {
					m.fault(l.Place, "defaults %s once more", s.name)
				}
				m.named[s.name] = s
			}
			defaults = s
		case "backend", "listen":
			if was := m.pools[s.name]; was != nil && s.name != "" {
				m.fault(l.Place, "%s %s is at line %d already", word, s.name, was.Line)
			} else {
				m.pools[s.name] = s
			}
		}
		cur = s
		m.sections = append(m.sections, s)
	}
}

// strange is the first character of a name that none may have (manual, 4): names are put into files and logs.
func strange(name string) string {
	for _, c := range name {
		if !allowed(c) {
			return string(c)
		}
	}
	return ""
}

// allowed tells whether a name may have a character.
func allowed(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.ContainsRune("-_.:", c)
}

// inherit gives the lines of a proxy's defaults, the farthest first.
func (s *section) inherit() (all []Line) {
	if s.defaults != nil {
		all = s.defaults.inherit()
	}
	return append(all, s.lines...)
}

func (m *importer) take(s *section) {
	switch s.kind {
	case "backend", "listen":
		m.pool(s)
	case "defaults", "frontend":
		acls := map[string]bool{}
		if s.kind == "frontend" {
			var all []route.Route
			all, s.inexact = m.routes(s)
			m.Routes = append(m.Routes, all...)
		}
		for i, l := range s.lines {
			m.line(s, i, l, nil, acls)
		}
	default:
		for _, l := range s.lines {
			m.note(l, Dropped, "in section %s, which concerns HAProxy itself", s.kind)
		}
	}
}

func (m *importer) pool(s *section) {
	p := &Pool{at: len(m.Pools), Place: s.Place, Name: s.name, Mode: "tcp", Pick: "lottery", Retries: 3}
	acls := map[string]bool{}
	if s.defaults != nil { // what they say holds here; it was noted where it stands
		quiet := &importer{named: m.named, pools: m.pools}
		for _, l := range s.defaults.inherit() {
			quiet.line(s, -1, l, p, map[string]bool{})
		}
	}
	if s.kind == "listen" {
		var all []route.Route
		all, s.inexact = m.routes(s)
		m.Routes = append(m.Routes, all...)
	}
	for i, l := range s.lines {
		if l.Word(0) == "default-server" {
			s.server = append(s.server, l)
		}
		m.line(s, i, l, p, acls)
	}
	seen, ids := map[string]Server{}, map[int]Server{}
	for _, x := range p.Servers {
		if was, twice := seen[x.Name]; twice {
			m.fault(x.Place, "server %s is listed twice in %s, first at line %d", x.Name, p.Name, was.Line)
		} else {
			seen[x.Name] = x
		}
		if x.ID > 0 {
			if was, twice := ids[x.ID]; twice {
				m.fault(x.Place, "id %d of server %s is that of %s at line %d", x.ID, x.Name, was.Name, was.Line)
			} else {
				ids[x.ID] = x
			}
		}
	}
	m.Faults = append(m.Faults, p.settle()...)
	m.Pools = append(m.Pools, *p)
}

// line says what becomes of a line of a proxy section or of defaults; p is nil where there is no pool.
func (m *importer) line(s *section, at int, l Line, p *Pool, acls map[string]bool) {
	word, arg := l.Word(0), l.Word(1)
	if word == "no" && len(l.Tokens) > 1 { // "no option x" turns something off
		m.note(l, Dropped, "it turns off what is not carried either")
		return
	}
	switch word {
	case "server", "server-template":
		if p == nil {
			m.fault(l.Place, "%s in a %s section", word, s.kind)
			m.note(l, Dropped, "it stands where no servers may")
			return
		}
		m.server(s, p, l)
	case "default-server":
		if s.kind == "defaults" {
			m.note(words(l, 0, 1), Carried, "for the servers of the proxies that follow")
		} else {
			m.note(words(l, 0, 1), Carried, "for the servers below it")
		}
		var x Server
		m.options(&x, l, 1)
		if p != nil && !slices.ContainsFunc(s.server, func(k Line) bool { return k.Place == l.Place }) {
			s.server = append(s.server, l)
		}
	case "mode":
		if p != nil {
			p.Mode = arg
		}
		m.note(l, Differs, "our proxies know RPCs of methods, not %s", arg)
	case "balance":
		m.balance(p, l)
	case "hash-type":
		m.note(l, Differs, "our arcs are a ring of hashed servers for each proxy; keys are not hashed to servers")
	case "timeout":
		m.timeout(p, l)
	case "retries":
		n, err := whole(arg, 0, 1000)
		if err != nil {
			m.fault(l.Place, "retries: %v", err)
		} else if p != nil {
			p.Retries = n
		}
		switch {
		case err == nil && n == 0:
			m.note(l, Carried, "tries once")
		case n == 1:
			m.note(l, Differs, "one more, after proof that an RPC never ran, at another server; none in a jam, where tries feed it")
		default:
			m.note(l, Differs, "one more at most, after proof that an RPC never ran, at another server; none in a jam, where tries feed it")
		}
	case "retry-on":
		m.retryOn(p, l)
	case "option":
		switch arg {
		case "redispatch":
			m.note(l, Carried, "a second try always goes to another server")
		case "allbackups":
			if p != nil {
				p.all = true
			}
			m.note(l, Carried, "")
		default:
			m.note(l, Dropped, "option %s has no like here", arg)
		}
	case "acl":
		acls[arg] = true
		switch why := s.inexact[at]; {
		case s.kind == "backend" || s.kind == "defaults":
			m.note(l, Dropped, "matches within a pool are our proxies' own")
		case why != "":
			m.note(l, Dropped, "%s", why)
		default:
			m.note(l, Carried, "in the routes that use it")
		}
	case "use_backend", "default_backend":
		if !strings.Contains(arg, "%[") {
			if m.pools[arg] == nil {
				m.fault(l.Place, "%s %s: there is no such backend", word, arg)
			}
		}
		if word == "use_backend" {
			m.conditions(l, acls)
		}
		switch why := s.inexact[at]; {
		case s.kind == "defaults":
			m.note(l, Dropped, "routes are read where they stand in a frontend, not in defaults")
		case why != "":
			m.note(l, Dropped, "%s: bind methods to pools by hand", why)
		default:
			m.note(l, Carried, "a route")
		}
	case "use-server":
		m.conditions(l, acls)
		m.note(l, Dropped, "a table is a pool's: an RPC bound to one of its servers would have none when that one is gone")
	case "bind":
		m.note(l, Dropped, "our proxies' own listeners")
	case "maxconn", "fullconn", "rate-limit":
		m.note(l, Dropped, "levels are shares of a method's RPCs, set by the module, not counts of connections")
	case "stick-table":
		for i := 1; i+1 < len(l.Tokens); i++ {
			var err error
			switch l.Word(i) {
			case "size":
				_, err = Size(l.Word(i + 1))
			case "expire":
				_, err = Duration(l.Word(i + 1))
			}
			if err != nil {
				m.fault(l.Place, "stick-table %s: %v", l.Word(i), err)
			}
		}
		m.note(l, Dropped, "%s", sticky)
	case "description", "id":
		m.note(l, Dropped, "for display only")
	default:
		if why, known := elsewhere[word]; known {
			m.note(l, Dropped, "%s", why)
		} else {
			m.note(l, Dropped, "unknown keyword %s", word)
		}
	}
}

// conditions finds ACLs that are used and never defined.
func (m *importer) conditions(l Line, acls map[string]bool) {
	at := slices.IndexFunc(l.Tokens, func(t Token) bool { return t.Text == "if" || t.Text == "unless" })
	if at < 0 {
		return
	}
	nested := false
	for _, t := range l.Tokens[at+1:] {
		name := strings.TrimPrefix(t.Text, "!")
		switch {
		case name == "{":
			nested = true
		case t.Text == "}":
			nested = false
		case nested, name == "", name == "or", name == "||", name == "and":
		case !acls[name] && !slices.Contains(builtin, name):
			m.fault(l.Place, "ACL %s is used and not defined in its section", name)
		}
	}
}

// builtin are the ACLs that need no definition (manual, 7.4).
var builtin = []string{
	"FALSE", "TRUE", "HTTP", "HTTP_1.0", "HTTP_1.1", "HTTP_2.0", "HTTP_3.0", "HTTP_CONTENT", "HTTP_URL_ABS", "HTTP_URL_SLASH", "HTTP_URL_STAR",
	"LOCALHOST", "METH_CONNECT", "METH_DELETE", "METH_GET", "METH_HEAD", "METH_OPTIONS", "METH_POST", "METH_PUT", "METH_TRACE",
	"RDP_COOKIE", "REQ_CONTENT", "WAIT_END",
}

func (m *importer) balance(p *Pool, l Line) {
	pick, class, why := "lottery", Differs, ""
	switch name, _, _ := strings.Cut(l.Word(1), "("); name {
	case "roundrobin", "static-rr":
		pick, class, why = "even", Differs, "each proxy goes round the servers of its own arc, in proportion to their weights"
	case "leastconn":
		pick, class, why = "pair", Differs, "the less busy of two that are drawn by weight"
	case "random":
		pick, class, why = "pair", Differs, "of two, in proportion to weights, within the proxy's arc"
	case "first", "source", "uri", "url_param", "hdr", "hash", "rdp-cookie":
		why = "servers are drawn by weight: nothing is bound to a server by " + name
	default:
		m.fault(l.Place, "balance %s is no algorithm", l.Word(1))
		class, why = Dropped, "no such algorithm"
	}
	if p != nil {
		p.Pick = pick
	}
	m.note(l, class, "%s", why)
}

func (m *importer) timeout(p *Pool, l Line) {
	v, err := Duration(l.Word(2))
	if err != nil {
		m.fault(l.Place, "timeout %s: %v", l.Word(1), err)
		m.note(l, Dropped, "no time")
		return
	}
	if l.Word(1) == "server" {
		if p != nil {
			p.Deadline = v
		}
		m.note(l, Differs, "a deadline, after which the client gives up; never a soft deadline")
		return
	}
	m.note(l, Dropped, "timeout %s is our proxies' own", l.Word(1))
}

// tracks follows track to its end: what a server tracks must exist, and no chain may close.
func (m *importer) tracks() {
	find := func(pool, server string) *Server {
		for i := range m.Pools {
			if m.Pools[i].Name == pool {
				for j := range m.Pools[i].Servers {
					if m.Pools[i].Servers[j].Name == server {
						return &m.Pools[i].Servers[j]
					}
				}
			}
		}
		return nil
	}
	told := map[string]bool{} // that are in a circle which was told of
	for _, p := range m.Pools {
		for _, s := range p.Servers {
			if s.Track == "" || told[p.Name+"/"+s.Name] {
				continue
			}
			seen := map[string]bool{p.Name + "/" + s.Name: true}
			pool, at := p.Name, s
			for at.Track != "" {
				to, name, ok := strings.Cut(at.Track, "/")
				if !ok {
					to, name = pool, at.Track
				}
				next := find(to, name)
				if next == nil {
					m.fault(s.Place, "server %s tracks %s, which does not exist", s.Name, at.Track)
					break
				}
				key := to + "/" + name
				if seen[key] {
					m.fault(s.Place, "server %s tracks itself in a circle, by %s", s.Name, key)
					for k := range seen {
						told[k] = true
					}
					break
				}
				seen[key] = true
				pool, at = to, *next
			}
		}
	}
}

// server takes a server line or a template.
func (m *importer) server(s *section, p *Pool, l Line) {
	x := Server{Place: l.Place, Weight: 1}
	for _, d := range s.server { // what its default-server lines say, noted where they stand
		quiet := &importer{}
		quiet.options(&x, d, 1)
	}
	names, at := []string{l.Word(1)}, 2
	if l.Word(0) == "server-template" {
		names, at = nil, 3
		first, last, isRange := strings.Cut(l.Word(2), "-")
		if !isRange {
			first, last = "1", first
		}
		a, err := whole(first, 0, 1e6)
		b, err2 := whole(last, a, 1e6)
		if err != nil || err2 != nil || b-a >= 10000 {
			m.fault(l.Place, "server-template %s: %q is no number or range of up to 10000 servers", l.Word(1), l.Word(2))
			m.note(l, Dropped, "its number is at fault")
			p.lacks = true
			return
		}
		for n := a; n <= b; n++ {
			names = append(names, l.Word(1)+strconv.Itoa(n))
		}
	}
	addr, err := ParseAddress(l.Word(at))
	if c := strange(l.Word(1)); c != "" {
		err = fmt.Errorf("%q is not permitted in a server's name", c)
	}
	if len(l.Tokens) <= at {
		err = fmt.Errorf("a name and an address are needed")
	}
	if c := strings.IndexFunc(l.Word(at), func(c rune) bool { return c < ' ' || c == 0x7f }); c >= 0 {
		err = fmt.Errorf("its address has a control character")
	}
	if err == nil && addr.Family != "unix" && addr.Family != "abns" {
		switch {
		case addr.Offset:
			err = fmt.Errorf("a port relative to the client's can't be listed")
		case addr.Last > 0:
			err = fmt.Errorf("a server has one port, not a range")
		case addr.Port == 0:
			err = fmt.Errorf("%s has no port", l.Word(at))
		}
	}
	if err != nil {
		m.fault(l.Place, "server %s: %v", l.Word(1), err)
		p.lacks = true
		m.note(l, Dropped, "its address is at fault")
		return
	}
	if l.Word(0) == "server-template" {
		m.note(words(l, 0, at+1), Differs, "all its servers are listed at the name's one address; it is not resolved here")
	} else {
		m.note(words(l, 0, at+1), Carried, "")
	}
	m.options(&x, l, at+1)
	x.Addr = addr.String()
	for i, name := range names {
		x.Name = name
		y := x
		if x.ID > 0 {
			y.ID += i
		}
		p.Servers = append(p.Servers, y)
	}
}

// options takes a server line's options from a word on.
func (m *importer) options(x *Server, l Line, from int) {
	for i := from; i < len(l.Tokens); {
		word := l.Word(i)
		o, known := serverOptions[word]
		base := strings.TrimPrefix(word, "no-")
		if !known && base != word {
			if _, known = serverOptions[base]; known {
				o = option{0, o.class, "turned off"}
				switch base {
				case "backup":
					x.Backup, o.class = false, Carried
				case "disabled":
					x.Disabled, o.class = false, Carried
				default:
					o.class = Dropped
				}
				m.note(words(l, i, i+1), o.class, "%s", o.why)
				i++
				continue
			}
		}
		if !known {
			m.note(words(l, i, len(l.Tokens)), Dropped, "unknown server option %s: what follows it can't be told apart", word)
			return
		}
		n := o.args
		if i+n >= len(l.Tokens) {
			m.fault(words(l, i, i+1).Place, "%s needs a value", word)
			m.note(words(l, i, len(l.Tokens)), Dropped, "its value is missing")
			return
		}
		v := l.Word(i + 1)
		var err error
		switch word {
		case "weight":
			var w int // one at fault changes nothing, so that nothing else seems to be at fault by it
			if w, err = whole(v, 0, 256); err == nil {
				x.Weight = w
			}
		case "backup":
			x.Backup = true
		case "disabled":
			x.Disabled = true
		case "enabled":
			x.Disabled = false
		case "slowstart":
			x.SlowStart, err = Duration(v)
		case "id":
			x.ID, err = whole(v, 1, 1<<31-1)
		case "track":
			x.Track = v
		case "inter", "fastinter", "downinter":
			_, err = Duration(v)
		case "maxconn", "minconn", "maxqueue", "fall", "rise":
			_, err = whole(v, 0, 1<<31-1)
		case "port":
			_, err = whole(v, 1, 65535)
		case "addr":
			_, err = ParseAddress(v)
		case "init-state":
			if !slices.Contains([]string{"up", "down", "fully-up", "fully-down"}, v) {
				err = fmt.Errorf("%q is none of up, down, fully-up, fully-down", v)
			}
		}
		if err != nil {
			m.fault(words(l, i, i+1).Place, "%s: %v", word, err)
		}
		m.note(words(l, i, i+1+n), o.class, "%s", o.why)
		i += 1 + n
	}
}

// retryOn takes the causes of further tries. Without the line HAProxy has conn-failure. Whatever else it names, an RPC that
// may have run is not tried again: whether a second run does harm stands in no file of HAProxy's.
func (m *importer) retryOn(p *Pool, l Line) {
	if len(l.Tokens) < 2 {
		m.fault(l.Place, "retry-on without a cause")
	}
	m.note(words(l, 0, 1), Carried, "")
	once := true
	for i := 1; i < len(l.Tokens); i++ {
		class, why := Dropped, "after this an RPC may have run: none is run twice unless its method is marked tokened"
		switch w := l.Word(i); {
		case w == "none" && len(l.Tokens) == 2:
			class, why = Carried, "tries once"
		case w == "none":
			m.fault(l.Place, "retry-on none beside other causes")
		case w == "conn-failure":
			class, why, once = Carried, "proof that it never ran", false
		case w == "all-retryable-errors":
			class, why, once = Differs, "after conn-failure only; after the others an RPC may have run", false
		case w == "503" || w == "429":
			class, why, once = Differs, "a push back is proof that an RPC never ran", false
		case slices.Contains([]string{"empty-response", "junk-response", "response-timeout", "0rtt-rejected", "401", "403", "404", "408", "421", "425", "500", "501", "502", "504"}, w):
		default:
			m.fault(l.Place, "retry-on %s is no cause", w)
			why = "no such cause"
		}
		m.note(words(l, i, i+1), class, "%s", why)
	}
	if p != nil {
		p.once = once
	}
}

// mostMethods is how many methods a pool's settings may have.
const mostMethods = 64

// narrow makes one method of all that comes to a pool by more routes than it may have methods.
func (m *importer) narrow() {
	for _, p := range m.Pools {
		if names, _ := route.Methods(m.Routes, p.Name); len(names) > mostMethods {
			for i := range m.Routes {
				if m.Routes[i].Pool == p.Name {
					m.Routes[i].Method = allMethod
				}
			}
		}
	}
}
