package coordinator

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"gingerfork/choice"
	"gingerfork/internal/proto"
)

// roll is the list as last held: what is kept for the next start, and where each server is reached.
type roll struct {
	version uint64
	held    bool // a list was held at all
	entries map[choice.EP]*server
}

type server struct {
	entry choice.Entry
	stamp uint64
	addr  string
}

// news checks a list frame, takes it over and gives what the module is to hear of it. Nothing of a frame that is
// refused is taken over.
func (r *roll) news(now choice.Seconds, m proto.List) (*choice.Listed, error) {
	if m.Kind == proto.ListError {
		return &choice.Listed{Kind: choice.ListFailed}, nil
	}
	seen := make(map[proto.EP]bool, len(m.Entries))
	for _, e := range m.Entries {
		switch {
		case seen[e.EP]:
			return nil, fmt.Errorf("list version %d names server %d twice", m.Version, e.EP)
		case e.State != proto.ServerGone && e.Addr == "":
			return nil, fmt.Errorf("list version %d gives no address for server %d", m.Version, e.EP)
		case e.State == proto.ServerGone && m.Kind == proto.ListFull:
			return nil, fmt.Errorf("list version %d is whole, and names server %d as gone", m.Version, e.EP)
		}
		seen[e.EP] = true
	}
	if m.Kind == proto.ListChanges {
		if r.held && m.Version <= r.version {
			return &choice.Listed{Kind: choice.ListDelta, Version: int64(r.version)}, nil // it came twice, or nothing is new
		}
		if !r.held || m.Base != r.version {
			return nil, fmt.Errorf("list changes from version %d, but version %d is held", m.Base, r.version)
		}
	}
	l := &choice.Listed{Kind: choice.ListDelta, Version: int64(m.Version)}
	old := r.entries
	if m.Kind == proto.ListFull {
		l.Kind, r.entries = choice.ListFull, make(map[choice.EP]*server, len(m.Entries))
	}
	for _, e := range m.Entries {
		id := choice.EP(e.EP)
		if e.State == proto.ServerGone {
			if was := r.entries[id]; was != nil {
				delete(r.entries, id)
				gone := was.entry
				gone.State = choice.Gone
				l.Entries = append(l.Entries, gone)
			}
			continue
		}
		s := &server{stamp: e.Stamp, addr: e.Addr, entry: choice.Entry{EP: id, Kind: e.Kind, Zone: choice.Zone(e.Zone),
			Weight: e.Weight, Cell: int(e.Cell), State: choice.Open}}
		if e.State == proto.ServerDraining {
			s.entry.State = choice.Draining
		}
		// The list's clock and ours need not agree: a start is told as an age, and reckoned once for each process,
		// as what looks like a later start is a restart to the module.
		if was := old[id]; was != nil && was.stamp == e.Stamp {
			s.entry.Start = was.entry.Start
		} else if !e.Old {
			s.entry.Start = max(now-e.Age, 1e-6)
		}
		r.entries[id] = s
		l.Entries = append(l.Entries, s.entry)
	}
	r.version, r.held = m.Version, true
	return l, nil
}

func (r *roll) sorted() []*server {
	all := make([]*server, 0, len(r.entries))
	for _, s := range r.entries {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *server) int { return cmp.Compare(a.entry.EP, b.entry.EP) })
	return all
}

const keptHead = "gingerfork-list 1"

// encode writes the list as it is kept between starts: a line with the format, the version, and the checksum of the
// rest, then a line a server.
func (r *roll) encode() []byte {
	var b strings.Builder
	for _, s := range r.sorted() {
		e := s.entry
		fmt.Fprintf(&b, "%d %d %q %q %d %s %s %d %q\n", e.EP, e.State, e.Kind, e.Zone, e.Cell,
			strconv.FormatFloat(e.Weight, 'g', -1, 64), strconv.FormatFloat(e.Start, 'g', -1, 64), s.stamp, s.addr)
	}
	return fmt.Appendf(nil, "%s %d %016x\n%s", keptHead, r.version, xxhash.Sum64String(b.String()), b.String())
}

// decodeKept reads what encode wrote; a file that is damaged in any way is refused whole.
func decodeKept(data []byte) (*roll, error) {
	first, rest, ok := strings.Cut(string(data), "\n")
	var version, check uint64
	if n, err := fmt.Sscanf(strings.TrimPrefix(first, keptHead), " %d %x", &version, &check); !ok || n != 2 || err != nil ||
		!strings.HasPrefix(first, keptHead+" ") {
		return nil, fmt.Errorf("it does not begin with %q, a version and a checksum", keptHead)
	}
	if xxhash.Sum64String(rest) != check {
		return nil, errors.New("its checksum does not match")
	}
	r := &roll{version: version, held: true, entries: map[choice.EP]*server{}}
	for i, line := range strings.Split(strings.TrimSuffix(rest, "\n"), "\n") {
		if line == "" {
			continue
		}
		var s server
		var zone string
		_, err := fmt.Sscanf(line, "%d %d %q %q %d %g %g %d %q", &s.entry.EP, &s.entry.State, &s.entry.Kind, &zone,
			&s.entry.Cell, &s.entry.Weight, &s.entry.Start, &s.stamp, &s.addr)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+2, err)
		}
		s.entry.Zone = choice.Zone(zone)
		r.entries[s.entry.EP] = &s
	}
	return r, nil
}

// kept is the list as the module hears of it at a start.
func (r *roll) kept() choice.Listed {
	l := choice.Listed{Kind: choice.ListKept, Version: int64(r.version)}
	for _, s := range r.sorted() {
		l.Entries = append(l.Entries, s.entry)
	}
	return l
}
