package emulator

import "slices"

// cacheCompactionFactor is the length of cache.accesses, as a multiple of cache.size, beyond which accesses that are
// not the last of their key are deleted from that list.
const cacheCompactionFactor = 4

// minCompactionLength is a number of accesses that is added to that length, so that the lists of small caches are not compacted
// all the time.
const minCompactionLength = 16

// cache emulates a least-recently-used cache. It has only the keys, as all that matters is which accesses are hits.
type cache struct {
	size        int               // maximum number of keys
	lastAccess  map[uint64]uint64 // by key: the number of its last access
	accesses    []cacheAccess     // oldest first; those that are not the last of their key are ignored
	accessCount uint64            // accesses so far
}

// cacheAccess is one access to a key. Accesses are numbered from 1.
type cacheAccess struct {
	key    uint64
	number uint64
}

// access puts a key into the cache, evicts the least recently used keys beyond its size, and reports whether the key was
// in the cache before.
func (c *cache) access(key uint64) (hit bool) {
	if c.lastAccess == nil {
		c.lastAccess = map[uint64]uint64{}
	}
	_, hit = c.lastAccess[key]
	c.accessCount++
	c.lastAccess[key] = c.accessCount
	c.accesses = append(c.accesses, cacheAccess{key, c.accessCount})
	for len(c.lastAccess) > c.size {
		oldest := c.accesses[0]
		c.accesses = c.accesses[1:]
		if c.lastAccess[oldest.key] == oldest.number {
			delete(c.lastAccess, oldest.key)
		}
	}
	if len(c.accesses) > cacheCompactionFactor*c.size+minCompactionLength {
		c.accesses = slices.DeleteFunc(c.accesses, func(access cacheAccess) bool {
			return c.lastAccess[access.key] != access.number
		})
	}
	return hit
}
