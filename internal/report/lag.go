package report

// MaxLag is the largest delay, in seconds, with which an emulated backend or a load generator may do what was due. A sample above
// it counts as late. It is a fortieth of a soft deadline of 800 ms, which is less than the random variation of a mean waiting
// time.
const MaxLag = 0.02

const (
	maxValidLateShare = 0.01 // share of late samples among all samples; above it, the results are invalid
	maxValidLag       = 0.25 // largest lag of a sample, in seconds; above it, the results are invalid
)

// ScheduleLag tells how far emulators and load generators fell behind schedule.
type ScheduleLag struct {
	Samples int     `json:"Looks"` // about one per second and process
	Late    int     // samples with a lag above MaxLag
	Max     float64 `json:"Worst"` // largest lag, in seconds
}

// Observe adds a sample: the largest lag, in seconds, since the previous sample.
func (l *ScheduleLag) Observe(lag float64) {
	l.Samples++
	if lag > MaxLag {
		l.Late++
	}
	l.Max = max(l.Max, lag)
}

// Merge adds the samples of another process.
func (l *ScheduleLag) Merge(other ScheduleLag) {
	l.Samples += other.Samples
	l.Late += other.Late
	l.Max = max(l.Max, other.Max)
}

// LateShare returns the share of the samples with a lag above MaxLag.
func (l ScheduleLag) LateShare() float64 { return float64(l.Late) / max(1, float64(l.Samples)) }

// Invalid reports whether the emulation fell so far behind schedule that the results show the emulator rather than the fleet: more
// than one sample in a hundred was late, or one lag was above a quarter of a second.
func (l ScheduleLag) Invalid() bool { return l.LateShare() > maxValidLateShare || l.Max > maxValidLag }
