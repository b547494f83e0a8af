package emulator

import "slices"

// cacheCompactionFactor is how many accesses per cached key are kept before those that were repeated are dropped.
const cacheCompactionFactor = 4

// minCompactionLength is how many further accesses are kept, so that small caches are not compacted all the time.
const minCompactionLength = 16

// cache is the keys of a least-recently-used cache.
type cache struct {
	size       int
	lastAccess map[uint64]uint64 // by key, the number of its last access
	accesses   []cacheAccess     // oldest first; those that are not the last of their key count for nothing
	count      uint64
}

type cacheAccess struct {
	key    uint64
	number uint64
}

// access puts a key into the cache and tells whether it was there.
func (c *cache) access(key uint64) (hit bool) {
	if c.lastAccess == nil {
		c.lastAccess = map[uint64]uint64{}
	}
	_, hit = c.lastAccess[key]
	c.count++
	c.lastAccess[key] = c.count
	c.accesses = append(c.accesses, cacheAccess{key, c.count})
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
