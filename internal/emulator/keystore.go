package emulator

// IdempotencyScope tells which backends share a store of idempotency keys.
type IdempotencyScope uint8

// The scopes of idempotency keys.
const (
	AllBackends IdempotencyScope = iota
	PerZone
	PerCell
	PerBackend
)

// keyStoreExpiryWindows is how many windows pass between two removals of expired keys, which spares looking at all keys
// with every RPC.
const keyStoreExpiryWindows = 10

// IdempotencyKeyStore remembers idempotency keys, so that an RPC is executed once within the window in a scope.
type IdempotencyKeyStore struct {
	Scope      IdempotencyScope
	Window     Seconds
	usedAt     map[scopedKey]Seconds
	lastExpiry Seconds
}

type scopedKey struct {
	key   uint64
	group any // zone, cell or backend, by the store's scope
}

// FirstUse tells whether a key is new in the scope of a backend, and remembers it.
func (s *IdempotencyKeyStore) FirstUse(idempotencyKey uint64, backend Config, now Seconds) bool {
	if s.usedAt == nil {
		s.usedAt = map[scopedKey]Seconds{}
	}
	s.expire(now)
	key := scopedKey{key: idempotencyKey}
	switch s.Scope {
	case AllBackends:
	case PerZone:
		key.group = backend.Zone
	case PerCell:
		key.group = backend.Cell
	case PerBackend:
		key.group = backend.Backend
	}
	usedAt, known := s.usedAt[key]
	if known && now <= usedAt+s.Window {
		return false
	}
	s.usedAt[key] = now
	return true
}

// expire removes the keys that are past the window, now and then.
func (s *IdempotencyKeyStore) expire(now Seconds) {
	if now <= s.lastExpiry+keyStoreExpiryWindows*s.Window+1 {
		return
	}
	s.lastExpiry = now
	for key, usedAt := range s.usedAt {
		if now > usedAt+s.Window {
			delete(s.usedAt, key)
		}
	}
}
