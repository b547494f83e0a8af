package emulator

// Group tells which servers share what they know of tokens.
type KeyScope uint8

// Which servers may share their tokens: all, those of a zone, those of a cell, or none.
const (
	AllBackends KeyScope = iota
	PerZone
	PerCell
	PerBackend
)

// Store is where servers note tokens: it drops a repeat within the window, in the group to which it comes.
type KeyStore struct {
	Scope  KeyScope
	Window Seconds
	seen   map[noted]Seconds
	sweep  Seconds
}

type noted struct {
	token uint64
	group any
}

// First tells whether a token is new to a server's group, and notes it.
func (s *KeyStore) FirstUse(token uint64, t Config, now Seconds) bool {
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
	switch s.Scope {
	case PerZone:
		k.group = t.Zone
	case PerCell:
		k.group = t.Cell
	case PerBackend:
		k.group = t.Backend
	}
	at, known := s.seen[k]
	if !known || now > at+s.Window {
		s.seen[k] = now
		return true
	}
	return false
}

// Ledger notes where RPCs took effect, whatever path they came by, so that a second effect is found.
type ExecutionLog struct {
	first       map[uint64]Execution
	Repeated    []RepeatedExecution // at most 1,000 are kept
	RepeatCount int                 // how many there were
}

// Took is an effect: where and when.
type Execution struct {
	Backend uint32
	At      Seconds
}

// Twice is an RPC that took effect again.
type RepeatedExecution struct {
	RPC          uint64
	Method       int
	First, Again Execution
}

// Note notes an effect.
func (l *ExecutionLog) Record(r RPC, ep uint32, now Seconds) {
	if l.first == nil {
		l.first = map[uint64]Execution{}
	}
	took := Execution{ep, now}
	was, again := l.first[r.ID]
	if !again {
		l.first[r.ID] = took
		return
	}
	if l.RepeatCount++; len(l.Repeated) < 1000 {
		l.Repeated = append(l.Repeated, RepeatedExecution{r.ID, r.Method, was, took})
	}
}
