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
type endpointRegistry struct {
	version    int64
	loaded     bool // a list was held at all
	olderInRow int  // lists in a row that were older than what is held
	ids        map[string]choice.BackendID
	backends   map[choice.BackendID]*backend
	lastPruned statemachine.Seconds
}

type backend struct {
	name      string
	addr      string
	endpoint  choice.Endpoint
	goneSince statemachine.Seconds // since when it is not listed; 0: it is
}

// keepName is how long the name of a server that is gone is kept: longer than the module may still speak of it.
const nameRetention = choice.BackendRetention + 60

func newEndpointRegistry() *endpointRegistry {
	return &endpointRegistry{ids: map[string]choice.BackendID{}, backends: map[choice.BackendID]*backend{}}
}

// host and list are discovery's forms.
type hostDocument struct {
	Host   string
	Dial   string
	Site   string
	Class  string
	Block  wholeNumber
	Health string
	Share  *float64
	BornMs float64 `json:"born_ms"`
}

type listDocument struct {
	Seq   *wholeNumber
	Whole bool
	Hosts *[]hostDocument
}

// whole is a number without fractions, however it is written: to JSON 41 and 41.0 are one number, to encoding/json's integers
// they are not, and one such in a list would cost the list.
type wholeNumber int64

// UnmarshalJSON implements json.Unmarshaler.
func (w *wholeNumber) UnmarshalJSON(b []byte) error {
	if string(b) == "null" {
		return nil
	}
	if n, err := strconv.ParseInt(string(b), 10, 64); err == nil {
		*w = wholeNumber(n)
		return nil
	}
	f, err := strconv.ParseFloat(string(b), 64)
	if err != nil || f != math.Trunc(f) || math.Abs(f) > 1<<53 {
		return fmt.Errorf("%.32s is not a whole number", b)
	}
	*w = wholeNumber(f)
	return nil
}

func parseEndpointList(b []byte) (*listDocument, error) {
	l := &listDocument{}
	if err := json.Unmarshal(b, l); err != nil {
		return nil, fmt.Errorf("a list that can't be read: %w", err)
	}
	if l.Seq == nil || l.Hosts == nil {
		return nil, fmt.Errorf("a list without its number or its servers")
	}
	seen := make(map[string]bool, len(*l.Hosts))
	for _, h := range *l.Hosts {
		switch {
		case !validName(h.Host):
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
func validName(s string) bool {
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
func (r *endpointRegistry) backendID(name string) choice.BackendID {
	if ep, ok := r.ids[name]; ok {
		return ep
	}
	sum := crc32.ChecksumIEEE([]byte(name))
	for k := 1; r.backends[choice.BackendID(sum)] != nil; k++ {
		sum = crc32.ChecksumIEEE([]byte(name + "/" + strconv.Itoa(k)))
	}
	r.ids[name] = choice.BackendID(sum)
	return choice.BackendID(sum)
}

// news takes over a list that discovery sent and gives what the module is to hear of it.
func (r *endpointRegistry) update(now statemachine.Seconds, l *listDocument) (choice.EndpointUpdate, error) {
	version := int64(*l.Seq)
	if r.loaded && version < r.version {
		// It comes from somewhere that is behind. The next call asks for all; if that stays so, discovery began anew.
		if r.olderInRow++; !l.Whole || r.olderInRow < 3 {
			return choice.EndpointUpdate{}, fmt.Errorf("a list of version %d, but version %d is held", version, r.version)
		}
	}
	r.olderInRow = 0
	out := choice.EndpointUpdate{Kind: choice.UpdateDelta, Version: version}
	listed := map[choice.BackendID]bool{}
	for _, h := range *l.Hosts {
		ep := r.backendID(h.Host)
		s := r.backends[ep]
		if s == nil {
			if h.Health == "left" {
				delete(r.ids, h.Host) // never heard of, and nothing to say of it
				continue
			}
			s = &backend{name: h.Host}
			r.backends[ep] = s
		}
		if h.Dial != "" {
			s.addr = h.Dial
		}
		s.goneSince = 0
		s.endpoint = choice.Endpoint{Backend: ep, Kind: h.Class, Zone: choice.Zone(h.Site), Weight: 1, Cell: int(h.Block), StartedAt: h.BornMs / 1000}
		if h.Share != nil {
			s.endpoint.Weight = *h.Share
		}
		switch h.Health {
		case "active":
			s.endpoint.State = choice.BackendOpen
		case "leaving":
			s.endpoint.State = choice.BackendDraining
		default:
			s.endpoint.State, s.goneSince = choice.BackendGone, now
		}
		listed[ep] = true
		out.Endpoints = append(out.Endpoints, s.endpoint)
	}
	if l.Whole {
		out.Kind = choice.UpdateFull
		for ep, s := range r.backends {
			if !listed[ep] && s.goneSince == 0 {
				s.goneSince, s.endpoint.State = now, choice.BackendGone
			}
		}
	}
	r.version, r.loaded = version, true
	return out, nil
}

// kept is the list as a fresh instance of the module is to hear of it.
func (r *endpointRegistry) cachedUpdate() choice.EndpointUpdate {
	l := choice.EndpointUpdate{Kind: choice.UpdateCached, Version: r.version}
	for _, s := range r.backends {
		if s.goneSince == 0 {
			l.Endpoints = append(l.Endpoints, s.endpoint)
		}
	}
	slices.SortFunc(l.Endpoints, func(a, b choice.Endpoint) int { return cmp.Compare(a.Backend, b.Backend) })
	return l
}

// partial tells whether changes alone would not do.
func (r *endpointRegistry) needsFullList() bool { return !r.loaded || r.olderInRow > 0 }

// tidy forgets the names of servers that are gone for so long that nothing speaks of them any more.
func (r *endpointRegistry) prune(now statemachine.Seconds) (forgotten []choice.BackendID) {
	if now < r.lastPruned+nameRetention/16 {
		return nil
	}
	r.lastPruned = now
	for ep, s := range r.backends {
		if s.goneSince > 0 && now > s.goneSince+nameRetention {
			delete(r.backends, ep)
			delete(r.ids, s.name)
			forgotten = append(forgotten, ep)
		}
	}
	return forgotten
}
