package emulator

// IdempotencyScope is the set of backends within which an idempotency key counts as the same.
type IdempotencyScope uint8

// The scopes of idempotency keys.
const (
	AllBackends IdempotencyScope = iota // keys are shared by all backends
	PerZone                             // keys are shared by the backends of a zone
	PerCell                             // keys are shared by the backends of a cell
	PerBackend                          // each backend has keys of its own
)

// expiryIntervalWindows is the time between two removals of expired keys, as a multiple of IdempotencyKeyStore.Window. A removal
// visits all keys, which would be too slow with every RPC.
const expiryIntervalWindows = 10

// IdempotencyKeyStore stores the idempotency keys of executed RPCs, so that the backends that share keys according to Scope
// execute an RPC only once within Window.
type IdempotencyKeyStore struct {
	Scope         IdempotencyScope
	Window        Seconds
	usedAt        map[scopedKey]Seconds
	lastRemovalAt Seconds
}

type scopedKey struct {
	key   uint64
	group any // the backend's zone, cell or ID, depending on the store's scope; nil for AllBackends
}

// FirstUse reports whether an idempotency key was not yet used within the window in the scope of a backend, and if so stores
// it.
func (s *IdempotencyKeyStore) FirstUse(idempotencyKey uint64, backend Config, now Seconds) bool {
	if s.usedAt == nil {
		s.usedAt = map[scopedKey]Seconds{}
	}
	s.removeExpired(now)
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

// removeExpired removes the keys whose window is over, if the last removal is long enough ago.
func (s *IdempotencyKeyStore) removeExpired(now Seconds) {
	if now <= s.lastRemovalAt+expiryIntervalWindows*s.Window+1 {
		return
	}
	s.lastRemovalAt = now
	for key, usedAt := range s.usedAt {
		if now > usedAt+s.Window {
			delete(s.usedAt, key)
		}
	}
}
