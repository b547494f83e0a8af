package platform

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"math"
	"slices"
	"strconv"

	"gingerfork/choice"
	"gingerfork/internal/statemachine"
)

// roll is the list as last held, and the two ways between a server's name and the number that the module knows it by.
type roll struct {
	version int64
	held    bool // a list was held at all
	older   int  // lists in a row that were older than what is held
	numbers map[string]choice.BackendID
	servers map[choice.BackendID]*server
	tidied  statemachine.Seconds
}

type server struct {
	name  string
	addr  string
	entry choice.Endpoint
	gone  statemachine.Seconds // since when it is not listed; 0: it is
}

// keepName is how long the name of a server that is gone is kept: longer than the module may still speak of it.
const keepName = choice.BackendRetention + 60

func newRoll() *roll {
	return &roll{numbers: map[string]choice.BackendID{}, servers: map[choice.BackendID]*server{}}
}

// host and list are discovery's forms.
type host struct {
	Host   string
	Dial   string
	Site   string
	Class  string
	Block  whole
	Health string
	Share  *float64
	BornMs float64 `json:"born_ms"`
}

type list struct {
	Seq   *whole
	Whole bool
	Hosts *[]host
}

// whole is a number without fractions, however it is written: to JSON 41 and 41.0 are one number, to encoding/json's integers
// they are not, and one such in a list would cost the list.
type whole int64

// UnmarshalJSON implements json.Unmarshaler.
func (w *whole) UnmarshalJSON(b []byte) error {
	if string(b) == "null" {
		return nil
	}
	if n, err := strconv.ParseInt(string(b), 10, 64); err == nil {
		*w = whole(n)
		return nil
	}
	f, err := strconv.ParseFloat(string(b), 64)
	if err != nil || f != math.Trunc(f) || math.Abs(f) > 1<<53 {
		return fmt.Errorf("%.32s is not a whole number", b)
	}
	*w = whole(f)
	return nil
}

func parseList(b []byte) (*list, error) {
	l := &list{}
	if err := json.Unmarshal(b, l); err != nil {
		return nil, fmt.Errorf("a list that can't be read: %w", err)
	}
	if l.Seq == nil || l.Hosts == nil {
		return nil, fmt.Errorf("a list without its number or its servers")
	}
	seen := make(map[string]bool, len(*l.Hosts))
	for _, h := range *l.Hosts {
		switch {
		case !goodName(h.Host):
			return nil, fmt.Errorf("a list with a server of the name %.64q", h.Host)
		case seen[h.Host]:
			return nil, fmt.Errorf("a list that names %s twice", h.Host)
		case h.Health != "active" && h.Health != "leaving" && h.Health != "left":
			return nil, fmt.Errorf("a list that tells of %s the unknown health %.32q", h.Host, h.Health)
		case h.Share != nil && !(*h.Share >= 0 && *h.Share <= 1e6), !(h.BornMs >= 0 && h.BornMs <= 1e15):
			return nil, fmt.Errorf("a list that gives %s a figure out of range", h.Host)
		}
		seen[h.Host] = true
	}
	return l, nil
}

// goodName keeps names fit for orders, in which they stand between commas and colons.
func goodName(s string) bool {
	if s == "" || len(s) > 128 {
		return false
	}
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c > '~' || c == ',' || c == ':' || c == '=' || c == '+' {
			return false
		}
	}
	return true
}

// number gives a server's number: made from its name alone, so that it is the same at every coordinator and after every
// restart, as the ring hashes it. Of two names that would share one, the later met takes the next that is free.
func (r *roll) number(name string) choice.BackendID {
	if ep, ok := r.numbers[name]; ok {
		return ep
	}
	sum := crc32.ChecksumIEEE([]byte(name))
	for k := 1; r.servers[choice.BackendID(sum)] != nil; k++ {
		sum = crc32.ChecksumIEEE([]byte(name + "/" + strconv.Itoa(k)))
	}
	r.numbers[name] = choice.BackendID(sum)
	return choice.BackendID(sum)
}

// news takes over a list that discovery sent and gives what the module is to hear of it.
func (r *roll) news(now statemachine.Seconds, l *list) (choice.EndpointUpdate, error) {
	version := int64(*l.Seq)
	if r.held && version < r.version {
		// It comes from somewhere that is behind. The next call asks for all; if that stays so, discovery began anew.
		if r.older++; !l.Whole || r.older < 3 {
			return choice.EndpointUpdate{}, fmt.Errorf("a list of version %d, but version %d is held", version, r.version)
		}
	}
	r.older = 0
	out := choice.EndpointUpdate{Kind: choice.UpdateDelta, Version: version}
	listed := map[choice.BackendID]bool{}
	for _, h := range *l.Hosts {
		ep := r.number(h.Host)
		s := r.servers[ep]
		if s == nil {
			if h.Health == "left" {
				delete(r.numbers, h.Host) // never heard of, and nothing to say of it
				continue
			}
			s = &server{name: h.Host}
			r.servers[ep] = s
		}
		if h.Dial != "" {
			s.addr = h.Dial
		}
		s.gone = 0
		s.entry = choice.Endpoint{Backend: ep, Kind: h.Class, Zone: choice.Zone(h.Site), Weight: 1, Cell: int(h.Block), StartedAt: h.BornMs / 1000}
		if h.Share != nil {
			s.entry.Weight = *h.Share
		}
		switch h.Health {
		case "active":
			s.entry.State = choice.BackendOpen
		case "leaving":
			s.entry.State = choice.BackendDraining
		default:
			s.entry.State, s.gone = choice.BackendGone, now
		}
		listed[ep] = true
		out.Endpoints = append(out.Endpoints, s.entry)
	}
	if l.Whole {
		out.Kind = choice.UpdateFull
		for ep, s := range r.servers {
			if !listed[ep] && s.gone == 0 {
				s.gone, s.entry.State = now, choice.BackendGone
			}
		}
	}
	r.version, r.held = version, true
	return out, nil
}

// kept is the list as a fresh instance of the module is to hear of it.
func (r *roll) kept() choice.EndpointUpdate {
	l := choice.EndpointUpdate{Kind: choice.UpdateCached, Version: r.version}
	for _, s := range r.servers {
		if s.gone == 0 {
			l.Endpoints = append(l.Endpoints, s.entry)
		}
	}
	slices.SortFunc(l.Endpoints, func(a, b choice.Endpoint) int { return cmp.Compare(a.Backend, b.Backend) })
	return l
}

// partial tells whether changes alone would not do.
func (r *roll) partial() bool { return !r.held || r.older > 0 }

// tidy forgets the names of servers that are gone for so long that nothing speaks of them any more.
func (r *roll) tidy(now statemachine.Seconds) (forgotten []choice.BackendID) {
	if now < r.tidied+keepName/16 {
		return nil
	}
	r.tidied = now
	for ep, s := range r.servers {
		if s.gone > 0 && now > s.gone+keepName {
			delete(r.servers, ep)
			delete(r.numbers, s.name)
			forgotten = append(forgotten, ep)
		}
	}
	return forgotten
}
