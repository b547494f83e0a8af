package haproxy

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
)

// Class tells what became of something in a file.
type Class uint8

// What may become of it.
const (
	Carried Class = iota // exactly
	Differs              // carried, but not quite the same
	Dropped              // not carried over
	classes
)

func (c Class) String() string {
	return [...]string{"carried", "carried with a difference", "not carried", "?"}[min(c, classes)]
}

// Note tells what became of a line, or of some of its words.
type Note struct {
	Line  Line // with the words that are meant only
	Class Class
	Reason   string
}

// Text is the words that a note is about.
func (n Note) Text() string { return strings.Join(n.Line.Words(), " ") }

// Pool is a backend or listen section as proxies would serve it.
type Pool struct {
	Position
	Name     string
	Mode     string
	Pick     string // lottery, even or pair
	Servers  []Server
	Deadline float64 // seconds that a server has to answer; 0: not said
	Retries  int
	at       int  // its place among the pools
	once     bool // retry-on has no cause that proves an RPC never ran
	all      bool // option allbackups
	lacks    bool // a server of it is at fault, so what it lacks by that is not said again
}

// Server is a server line, one of a template's, or a listen section's.
type Server struct {
	Position
	Name      string
	Addr      string
	Weight    int
	Backup    bool
	Disabled  bool
	SlowStart float64 // seconds
	ID        int     // 0: none given
	Track     string
	State     State
}

// State is what proxies would send to a server.
type State uint8

// The states that there are.
const (
	Used     State = iota
	Draining       // weight 0: what it has goes on, nothing new comes
	Unused         // disabled, or a backup while others are in use
)

func (s State) String() string { return [...]string{"open", "draining", "unused", "?"}[min(s, 3)] }

// Listed are the servers that a list shows, and in what state.
func (p Pool) Listed() (all []Server) {
	for _, s := range p.Servers {
		if s.State != Unused {
			all = append(all, s)
		}
	}
	return all
}

// settle says what each server of a pool would get, by what proxies do, not by what the words are called.
func (p *Pool) settle() (faults []Fault) {
	active := 0
	for i := range p.Servers {
		s := &p.Servers[i]
		switch {
		case s.Disabled, s.Backup:
			s.State = Unused
		case s.Weight == 0:
			s.State = Draining
		default:
			active++
		}
	}
	if p.lacks && active == 0 {
		return nil
	}
	if len(p.Servers) == 0 {
		return []Fault{{p.Position, fmt.Sprintf("%s has no servers", p.Name)}}
	}
	if active == 0 {
		// Backups come in when no other can be used: the first, or all of them.
		for i := range p.Servers {
			s := &p.Servers[i]
			if s.Backup && !s.Disabled && s.Weight > 0 {
				s.State = Used
				if active++; !p.all {
					break
				}
			}
		}
	}
	if active == 0 {
		weights := 0
		for _, s := range p.Servers {
			weights += s.Weight
		}
		what := fmt.Sprintf("%s has no server in use", p.Name)
		if weights == 0 {
			what = fmt.Sprintf("the weights of %s sum to nothing", p.Name)
		}
		faults = append(faults, Fault{p.Position, what})
	}
	return faults
}

// Duration reads a time of the manual's 2.5: a number with us, ms, s, m, h or d; ms where none is given.
func Duration(s string) (float64, error) {
	units := []struct {
		name string
		s    float64
	}{{"us", 1e-6}, {"ms", 1e-3}, {"s", 1}, {"m", 60}, {"h", 3600}, {"d", 86400}}
	for _, u := range units {
		if num, ok := strings.CutSuffix(s, u.name); ok {
			if n, err := strconv.ParseUint(num, 10, 31); err == nil {
				return float64(n) * u.s, nil
			}
		}
	}
	n, err := strconv.ParseUint(s, 10, 31)
	if err != nil {
		return 0, fmt.Errorf("%q is no time, such as 500, 30s or 5m", s)
	}
	return float64(n) / 1000, nil
}

// Size reads a size: a number with k, m or g.
func Size(s string) (int64, error) {
	times := int64(1)
	if n := len(s); n > 1 {
		switch s[n-1] | 32 {
		case 'k':
			times, s = 1<<10, s[:n-1]
		case 'm':
			times, s = 1<<20, s[:n-1]
		case 'g':
			times, s = 1<<30, s[:n-1]
		}
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 || n > math.MaxInt64/times {
		return 0, fmt.Errorf("%q is no size, such as 500, 16k or 2m", s)
	}
	return n * times, nil
}

func whole(s string, least, most int) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil || n < least || n > most {
		return 0, fmt.Errorf("%q is no whole number from %d to %d", s, least, most)
	}
	return n, nil
}

// Address is a server's or listener's, taken apart (manual, 4.2 server, bind).
type Address struct {
	Family string // "", ipv4, ipv6, unix, abns, sockpair, fd, quic4, quic6
	Host   string
	Port   int  // 0: none
	Offset bool // +port or -port: relative to the port that the client came to
	Last   int  // of a range of ports
}

// ParseAddress reads an address in any of its forms.
func ParseAddress(s string) (a Address, err error) {
	for _, f := range []string{"ipv4", "ipv6", "unix", "abns", "abnsz", "sockpair", "fd", "quic4", "quic6", "rhttp", "udp4", "udp6", "udp", "uxst", "uxdg", "tcp", "tcp4", "tcp6"} {
		if rest, ok := strings.CutPrefix(s, f+"@"); ok {
			a.Family, s = f, rest
			break
		}
	}
	if strings.HasPrefix(s, "/") && a.Family == "" {
		a.Family = "unix"
	}
	if slices.Contains([]string{"unix", "abns", "abnsz", "sockpair", "fd", "uxst", "uxdg", "rhttp"}, a.Family) {
		a.Host = s
		if s == "" {
			err = fmt.Errorf("%s@ without a name", a.Family)
		}
		return a, err
	}
	host, port := s, ""
	switch {
	case strings.HasPrefix(s, "["):
		end := strings.IndexByte(s, ']')
		if end < 0 {
			return a, fmt.Errorf("%q: a bracket is never closed", s)
		}
		host, port = s[1:end], strings.TrimPrefix(s[end+1:], ":")
		if rest := s[end+1:]; rest != "" && rest[0] != ':' {
			return a, fmt.Errorf("%q after the bracket", rest)
		}
	default:
		if at := strings.LastIndexByte(s, ':'); at >= 0 {
			host, port = s[:at], s[at+1:]
		}
	}
	a.Host = host
	if port != "" {
		digits := port
		if port[0] == '+' || port[0] == '-' {
			a.Offset, digits = true, port[1:]
		}
		first, last, isRange := strings.Cut(digits, "-")
		if a.Port, err = whole(first, 0, 65535); err != nil {
			return a, fmt.Errorf("port %w", err)
		}
		if isRange {
			if a.Last, err = whole(last, a.Port, 65535); err != nil {
				return a, fmt.Errorf("the range's end: %w", err)
			}
		}
		if port[0] == '-' {
			a.Port = -a.Port
		}
	}
	return a, nil
}

// String is the address as our list has it.
func (a Address) String() string {
	if a.Family == "unix" || a.Family == "abns" {
		return a.Family + "@" + a.Host
	}
	return net.JoinHostPort(a.Host, strconv.Itoa(a.Port))
}
