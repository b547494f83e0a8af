package emulator

// Group tells which servers share what they know of tokens.
type Group uint8

// Which servers may share their tokens: all, those of a zone, those of a cell, or none.
const (
	All Group = iota
	ByZone
	ByCell
	Each
)

// Store is where servers note tokens: it drops a repeat within the window, in the group to which it comes.
type Store struct {
	Group  Group
	Window Seconds
	seen   map[noted]Seconds
	sweep  Seconds
}

type noted struct {
	token uint64
	group any
}

// First tells whether a token is new to a server's group, and notes it.
func (s *Store) First(token uint64, t Trade, now Seconds) bool {
	if s.seen == nil {
		s.seen = map[noted]Seconds{}
	}
	if now > s.sweep+10*s.Window+1 { // what is past its window is let go of now and then
		s.sweep = now
		for k, at := range s.seen {
			if now > at+s.Window {
				delete(s.seen, k)
			}
		}
	}
	k := noted{token: token}
	switch s.Group {
	case ByZone:
		k.group = t.Zone
	case ByCell:
		k.group = t.Cell
	case Each:
		k.group = t.EP
	}
	at, known := s.seen[k]
	if !known || now > at+s.Window {
		s.seen[k] = now
		return true
	}
	return false
}

// Ledger notes where RPCs took effect, whatever path they came by, so that a second effect is found.
type Ledger struct {
	first map[uint64]Took
	Twice []Twice // at most 1,000 are kept
	Many  int     // how many there were
}

// Took is an effect: where and when.
type Took struct {
	EP uint32
	At Seconds
}

// Twice is an RPC that took effect again.
type Twice struct {
	RPC          uint64
	Method       int
	First, Again Took
}

// Note notes an effect.
func (l *Ledger) Note(r RPC, ep uint32, now Seconds) {
	if l.first == nil {
		l.first = map[uint64]Took{}
	}
	took := Took{ep, now}
	was, again := l.first[r.ID]
	if !again {
		l.first[r.ID] = took
		return
	}
	if l.Many++; len(l.Twice) < 1000 {
		l.Twice = append(l.Twice, Twice{r.ID, r.Method, was, took})
	}
}
