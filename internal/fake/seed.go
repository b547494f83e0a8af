package fake

import "hash/crc32"

// DeriveSeed combines a base seed with a name, so that every named process of a run draws random numbers of its own.
func DeriveSeed(base uint64, name string) uint64 {
	return base<<32 ^ uint64(crc32.ChecksumIEEE([]byte(name)))
}
