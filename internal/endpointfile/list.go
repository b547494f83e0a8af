// Package follow decides what becomes of the list when the file that it comes from changes: what is new is listed, what
// is gone from the file drains first and leaves later, what changed its weight changes its weight alone, and a file that
// would take most servers out of use is held back until it is offered again. It does no I/O and has no clock; what it
// knows can be written down and read again, so that a restart between two files drains what the later one dropped.
package endpointfile

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Seconds are seconds with fractions.
type Seconds = float64

// State is a server's on the list.
type State uint8

// The states on the list.
const (
	Open State = iota
	Draining
	Gone
)

// Server is one that a file names.
type Backend struct {
	ID       uint32 `json:"Number"` // by which proxies know it; it goes by the name
	Name     string
	Addr     string
	Weight   float64
	Draining bool // the file says that it is to get nothing new
}

// Entry is a server on the list.
type Endpoint struct {
	Backend
	State       State
	Incarnation uint64  `json:"Stamp"` // changes when its process is another
	StartTime   Seconds `json:"Start"` // of its process; 0: long ago, or not known
	RemovalTime Seconds `json:"Until"` // it left the file, and leaves the list then; 0: it is in the file
}

// Terms are what an operator sets.
type Settings struct {
	DrainPeriod  Seconds // from when a server left the file until it leaves the list
	MaxLossShare float64 // share of the servers in use that one file may take out of use; more must be offered twice
}

// Follow is the list as it follows files.
type List struct {
	terms   Settings
	version uint64
	list    map[uint32]*Endpoint
	held    string // the offer that was held back last
}

// New makes an empty list.
func New(t Settings) *List { return &List{terms: t, list: map[uint32]*Endpoint{}} }

// Version counts changes of the list.
func (f *List) Version() uint64 { return f.version }

// Entries are all of the list, by number.
func (f *List) Endpoints() []Endpoint {
	numbers := f.numbers()
	all := slices.Grow([]Endpoint(nil), len(numbers)) // nil for none: it is stored so
	for _, n := range numbers {
		all = append(all, *f.list[n])
	}
	return all
}

func (f *List) numbers() (all []uint32) {
	for n := range f.list {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

// Offer takes a file's servers. It gives the entries that changed; or an error that says why the file is held back, and
// then nothing has changed.
func (f *List) Apply(now Seconds, servers []Backend) ([]Endpoint, error) {
	in := map[uint32]Backend{}
	used := 0
	for _, s := range servers {
		if was, twice := in[s.ID]; twice {
			return nil, fmt.Errorf("servers %s and %s have the number %d", was.Name, s.Name, s.ID)
		}
		if !(s.Weight > 0) {
			return nil, fmt.Errorf("server %s has a weight of %v", s.Name, s.Weight)
		}
		in[s.ID] = s
		if !s.Draining {
			used++
		}
	}
	if used == 0 {
		return nil, fmt.Errorf("no server would be in use")
	}
	open, lost := 0, 0
	for _, e := range f.list {
		if e.State == Open {
			open++
			if s, still := in[e.ID]; !still || s.Draining || s.Addr != e.Addr {
				lost++
			}
		}
	}
	if float64(lost) > f.terms.MaxLossShare*float64(open) {
		offered := fingerprint(servers)
		if f.held == offered {
			return f.take(now, servers, in), nil
		}
		f.held = offered
		return nil, fmt.Errorf("it takes %d of %d servers out of use, more than %.0f%%: reload the same file once more if it is meant", lost, open, 100*f.terms.MaxLossShare)
	}
	return f.take(now, servers, in), nil
}

// take has the list follow a file.
func (f *List) take(now Seconds, servers []Backend, in map[uint32]Backend) (changed []Endpoint) {
	f.held = ""
	for _, s := range servers {
		e := f.list[s.ID]
		state := Open
		if s.Draining {
			state = Draining
		}
		switch {
		case e == nil:
			e = &Endpoint{Backend: s, State: state, Incarnation: 1}
			if len(f.list) > 0 && f.version > 0 {
				e.StartTime = now // beside others it may just have started: cold until it has warmed
			}
			f.list[s.ID] = e
		case e.Addr != s.Addr:
			// Another process under the same name: what was held against the old one is void, and it is cold.
			*e = Endpoint{Backend: s, State: state, Incarnation: e.Incarnation + 1, StartTime: now}
		case e.Backend != s || e.State != state || e.RemovalTime != 0:
			e.Backend, e.State, e.RemovalTime = s, state, 0
		default:
			continue
		}
		changed = append(changed, *e)
	}
	for _, n := range f.numbers() {
		if e := f.list[n]; e.RemovalTime == 0 {
			if _, still := in[n]; !still {
				e.State, e.RemovalTime = Draining, now+f.terms.DrainPeriod
				changed = append(changed, *e)
			}
		}
	}
	if len(changed) > 0 {
		f.version++
	}
	slices.SortFunc(changed, func(a, b Endpoint) int { return int(int64(a.ID) - int64(b.ID)) })
	return changed
}

// Due gives the entries whose drain is over: they are gone, and off the list.
func (f *List) RemoveDrained(now Seconds) (gone []Endpoint) {
	for _, n := range f.numbers() {
		if e := f.list[n]; e.RemovalTime > 0 && e.RemovalTime <= now {
			delete(f.list, n)
			e.State = Gone
			gone = append(gone, *e)
		}
	}
	if len(gone) > 0 {
		f.version++
	}
	return gone
}

// Wake is when Due has something next; false: never by itself.
func (f *List) NextRemoval() (at Seconds, ok bool) {
	for _, e := range f.list {
		if e.RemovalTime > 0 && (!ok || e.RemovalTime < at) {
			at, ok = e.RemovalTime, true
		}
	}
	return at, ok
}

func fingerprint(servers []Backend) string {
	all := slices.Clone(servers)
	slices.SortFunc(all, func(a, b Backend) int { return int(int64(a.ID) - int64(b.ID)) })
	return fmt.Sprint(all)
}

// kept is what a restart needs.
type kept struct {
	Format  int
	Version uint64
	Entries []Endpoint
	Held    string
}

// Encode writes down what it knows.
func (f *List) Encode() ([]byte, error) {
	data, err := json.Marshal(kept{1, f.version, f.Endpoints(), f.held})
	if err != nil {
		return nil, fmt.Errorf("write down the list that follows files: %w", err)
	}
	return data, nil
}

// Decode reads it again.
func Decode(t Settings, data []byte) (*List, error) {
	var k kept
	if err := json.Unmarshal(data, &k); err != nil {
		return nil, fmt.Errorf("read the list that follows files: %w", err)
	}
	if k.Format != 1 {
		return nil, fmt.Errorf("read the list that follows files: format %d is not known here", k.Format)
	}
	f := New(t)
	f.version, f.held = k.Version, k.Held
	for _, e := range k.Entries {
		if f.list[e.ID] != nil || e.State > Draining || !(e.Weight > 0) {
			return nil, fmt.Errorf("read the list that follows files: server %d is at fault", e.ID)
		}
		f.list[e.ID] = &e
	}
	return f, nil
}
