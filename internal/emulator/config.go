package emulator

// CancelPolicy tells what a backend does with an RPC whose client has given up, at its deadline or by closing the
// connection.
type CancelPolicy uint8

// The cancel policies.
const (
	// IgnoreCancel executes RPCs all the same.
	IgnoreCancel CancelPolicy = iota
	// DropQueued drops a cancelled RPC when it reaches the head of the queue; one that is being executed goes on.
	DropQueued
	// CancelRunning drops queued RPCs and stops running ones at once.
	CancelRunning
)

// Config configures an emulated backend.
type Config struct {
	Backend      uint32
	Zone         string
	Cell         int
	Cores        int
	Speed        float64 // of a core: seconds of work that it does in a second
	Work         []Work  // by method; the last holds for all further methods
	QueueLimit   int     // RPCs that may wait for a core
	CancelPolicy CancelPolicy

	// A cold backend's cores run at ColdSpeed times Speed at its start and get faster evenly until WarmupTime is over.
	// Other backends started long ago.
	StartsCold bool
	ColdSpeed  float64
	WarmupTime Seconds
	// A backend that is warming up collapses if the work that arrives within OverloadWindow is more than OverloadMultiple
	// times what it can do in that time; a window of 0: it never does.
	OverloadMultiple float64
	OverloadWindow   Seconds

	ConnLimit  int     // 0: unlimited
	ConnWork   Seconds // of accepting a connection
	ProbeWork  Seconds
	ProbeLimit int // probes at once; 0: unlimited

	// With ReportsLoad each reply has the load as it was ReportDelay before, multiplied by noise with the coefficient of
	// variation ReportNoise.
	ReportsLoad bool
	ReportDelay Seconds
	ReportNoise float64

	CacheSize    int     // keys; 0: no cache
	CacheSavings float64 // share of the work that a cache hit saves

	SampleInterval  Seconds // between samples of its state in the trace; 0: none
	Seed            uint64
	IdempotencyKeys *IdempotencyKeyStore // nil: repeated idempotency keys are not detected
	Executions      *ExecutionLog        // nil: executions are not logged
}

// Capacity is the RPCs a second that the backend executes when it is warm, for shares of methods.
func (c Config) Capacity(mix []float64) float64 {
	mean, total := 0.0, 0.0
	for method, share := range mix {
		mean += share * c.workOf(method).Mean
		total += share
	}
	return float64(c.Cores) * c.Speed * total / mean
}

func (c Config) workOf(method int) Work {
	return c.Work[min(method, len(c.Work)-1)]
}
