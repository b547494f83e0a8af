// Package traffic generates RPC arrivals: when each RPC is due, its method and its cache key. Arrivals are a Poisson process
// whose rate follows a daily sine wave and bursts. Methods are drawn by their shares, cache keys by Zipf's law. The process is
// an open loop: it depends on the seed and the configured rates and not on the outcome of earlier RPCs, so that two ways of
// serving the same traffic can be compared.
package traffic

// Seconds is a time or a duration in seconds, with fractions.
type Seconds = float64
