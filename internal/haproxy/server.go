package haproxy

import (
	"strconv"
	"strings"
	"unicode"
)

// Server is a server that a server or server-template line defines.
type Server struct {
	Position
	Name      string
	Addr      string // address as written in the endpoint list that the import generates
	Weight    int
	Backup    bool
	Disabled  bool
	SlowStart float64 // slowstart of the server, in seconds
	ID        int     // 0 if none is set
	Track     string  // the server whose health state this one shares, as NAME or POOL/NAME; "" if none
	State     State
}

// State tells which traffic proxies send to a server.
type State uint8

// The states of servers.
const (
	Open     State = iota
	Draining       // weight 0: existing sessions continue, new ones are not started
	Unused         // disabled, or a backup while other servers are in use; not on the endpoint list
)

// String returns the state as written in the endpoint list.
func (s State) String() string { return [...]string{"open", "draining", "unused", "?"}[min(s, 3)] }

// initialState returns the state of a server before assignStates decides whether backups are used.
func (s Server) initialState() State {
	switch {
	case s.Disabled, s.Backup:
		return Unused
	case s.Weight == 0:
		return Draining
	}
	return Open
}

const (
	// defaultWeight is the weight that HAProxy gives a server if none is configured (manual, 5.2 weight).
	defaultWeight = 1
	// maxTemplateServers is the maximum number of servers that a server-template line may define.
	maxTemplateServers = 10000
	// maxTemplateNumber is the highest number that a server-template line may append to its prefix.
	maxTemplateNumber = 1_000_000
)

// importServer imports a server or server-template line.
func (m *importer) importServer(line proxyLine) {
	pool := line.pool
	if pool == nil {
		m.fault(line.Position, ErrMisplaced, "%s in a %s section", line.keyword(), line.section.kind)
		m.note(line.Line, Dropped, "it stands where no servers may")
		return
	}
	isTemplate := line.keyword() == "server-template"
	names, addressIndex := []string{line.Word(1)}, 2
	if isTemplate {
		var err error
		if names, err = templateNames(line.Word(1), line.Word(2)); err != nil {
			m.fault(line.Position, ErrValue, "server-template %s: %w", line.Word(1), err)
			m.note(line.Line, Dropped, "its number is at fault")
			pool.hasFaultyServer = true
			return
		}
		addressIndex = 3
	}
	listed, err := serverAddress(line.Line, addressIndex)
	if err != nil {
		m.fault(line.Position, ErrValue, "server %s: %w", line.Word(1), err)
		m.note(line.Line, Dropped, "its address is at fault")
		pool.hasFaultyServer = true
		return
	}
	class, reason := Carried, ""
	if isTemplate {
		class, reason = Differs, "all its servers are listed at the name's one address; it is not resolved here"
	}
	m.note(line.part(0, addressIndex+1), class, "%s", reason)
	server := defaultServer(line)
	m.applyOptions(&server, line.Line, addressIndex+1)
	server.Addr = listed.String()
	pool.addServers(server, names)
}

// defaultServer returns a server with the options of the default-server lines before it. Notes and faults of those options are
// discarded, because they were reported when the default-server lines themselves were imported.
func defaultServer(line proxyLine) Server {
	server := Server{Position: line.Position, Weight: defaultWeight}
	silent := &importer{}
	for _, defaults := range line.section.defaultServers {
		silent.applyOptions(&server, defaults, 1)
	}
	return server
}

// addServers adds a copy of a server under each of the names. If the server has an id, the copies get consecutive ids from it.
func (p *Pool) addServers(server Server, names []string) {
	for i, name := range names {
		added := server
		added.Name = name
		if added.ID > 0 {
			added.ID += i
		}
		p.Servers = append(p.Servers, added)
	}
}

// templateNames returns the server names of a server-template line. The count is a number of servers or a range of numbers to
// append to the prefix.
func templateNames(prefix, count string) ([]string, error) {
	first, last, isRange := strings.Cut(count, "-")
	if !isRange {
		first, last = "1", first
	}
	begin, err := parseInteger(first, 0, maxTemplateNumber)
	end, endErr := parseInteger(last, begin, maxTemplateNumber)
	if err != nil || endErr != nil || end-begin >= maxTemplateServers {
		return nil, &ValueError{count, "number or range of up to 10000 servers"}
	}
	names := make([]string, 0, end-begin+1)
	for number := begin; number <= end; number++ {
		names = append(names, prefix+strconv.Itoa(number))
	}
	return names, nil
}

// serverAddress parses the address of a server line, which is the word with the given index. It returns an error if the endpoint
// list cannot hold the address or the server's name.
func serverAddress(line Line, index int) (address, error) {
	word := line.Word(index)
	switch {
	case strings.ContainsFunc(word, isASCIIControl):
		return address{}, classify(ErrValue, "its address has a control character")
	case len(line.Tokens) <= index:
		return address{}, classify(ErrSyntax, "a name and an address are needed")
	}
	if character := forbiddenCharacter(line.Word(1)); character != "" {
		return address{}, classify(ErrName, "%q is not permitted in a server's name", character)
	}
	parsed, err := parseAddress(word)
	switch {
	case err != nil:
		return address{}, err
	case parsed.isListedSocket():
		return parsed, nil
	case parsed.RelativePort:
		return address{}, classify(ErrUnsupported, "a port relative to the client's can't be listed")
	case parsed.LastPort > 0:
		return address{}, classify(ErrValue, "a server has one port, not a range")
	case parsed.Port == 0:
		return address{}, classify(ErrValue, "%s has no port", word)
	}
	return parsed, nil
}

func isASCIIControl(c rune) bool { return c <= unicode.MaxASCII && unicode.IsControl(c) }
