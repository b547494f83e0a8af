// Package traffic draws when RPCs are due and what they ask for. Arrivals are a Poisson process with a rate that follows
// the daily wave and the bursts of a shape; methods follow a mix of shares, and cache keys Zipf's law. The process is an
// open loop: it depends on the seed alone and not on what became of earlier RPCs, so that two ways of serving the same
// traffic can be compared.
package traffic

// Seconds are seconds with fractions.
type Seconds = float64
