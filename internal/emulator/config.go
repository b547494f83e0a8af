package emulator

// CancelPolicy is what a backend does with a cancelled RPC: one whose deadline has passed or whose client has closed the
// connection.
type CancelPolicy uint8

// The cancel policies.
const (
	// IgnoreCancel executes cancelled RPCs like any other.
	IgnoreCancel CancelPolicy = iota
	// DropQueued drops a cancelled RPC when it reaches the head of the queue, but completes one that is being executed.
	DropQueued
	// CancelRunning drops cancelled RPCs from the queue like DropQueued, and stops those that are being executed at once.
	CancelRunning
)

// Config configures an emulated backend.
type Config struct {
	Backend      uint32 // ID of the backend
	Zone         string
	Cell         int
	Cores        int
	Speed        float64 // seconds of work that one core does per second
	Work         []Work  // by index of the method; the last also applies to all further methods
	QueueLimit   int     // RPCs that may wait for a core
	CancelPolicy CancelPolicy

	// With StartsCold the cores run at ColdSpeed times Speed at first, and their speed increases linearly to Speed over
	// WarmupTime. Without it the backend is warm from the start.
	StartsCold bool
	ColdSpeed  float64
	WarmupTime Seconds
	// A backend that is warming up collapses if the work that arrives within OverloadWindow exceeds the overload bound:
	// overloadSlackRPCs RPCs of mean work more than OverloadMultiple times what the backend can do in that time. With an OverloadWindow of 0 it never collapses.
	OverloadMultiple float64
	OverloadWindow   Seconds

	ConnLimit  int     // open connections that are accepted; 0: unlimited
	ConnWork   Seconds // work of accepting a connection, in seconds on a core of speed 1
	ProbeWork  Seconds // work of a probe, in seconds on a core of speed 1
	ProbeLimit int     // concurrent probes; 0: unlimited

	// With ReportsLoad each reply reports the load as it was ReportDelay earlier, multiplied by lognormal noise whose
	// coefficient of variation is ReportNoise.
	ReportsLoad bool
	ReportDelay Seconds
	ReportNoise float64

	CacheSize    int     // keys that the cache holds; 0: no cache
	CacheSavings float64 // share of an RPC's work that a cache hit saves

	SampleInterval  Seconds // time between two samples of the backend's state in the trace; 0: no samples
	Seed            uint64
	IdempotencyKeys *IdempotencyKeyStore // nil: repeated idempotency keys are not detected
	Executions      *ExecutionLog        // nil: executions are not logged
}

// Capacity returns how many RPCs per second the backend can execute when it is warm. mix has the methods' shares of the
// RPCs.
func (c Config) Capacity(mix []float64) float64 {
	mean, total := 0.0, 0.0
	for method, share := range mix {
		mean += share * c.workOf(method).Mean
		total += share
	}
	return float64(c.Cores) * c.Speed * total / mean
}

// workOf returns the work of the RPCs of a method.
func (c Config) workOf(method int) Work {
	return c.Work[min(method, len(c.Work)-1)]
}
