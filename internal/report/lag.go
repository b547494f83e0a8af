package report

// MaxLag is how late, in seconds, an emulated backend or a load generator may do what was due before its figures are in doubt: a
// fortieth of a soft deadline of 800 ms, which is less than the random variation of a mean wait.
const MaxLag = 0.02

const (
	maxLateShare = 0.01 // of the samples, before the figures are invalid
	maxStall     = 0.25 // seconds, before the figures are invalid
)

// ScheduleLag is how far emulators and load generators fell behind real time.
type ScheduleLag struct {
	Samples int     `json:"Looks"` // about one a second and process
	Late    int     // samples with a lag above MaxLag
	Max     float64 `json:"Worst"` // seconds
}

// Observe adds a sample: the largest lag, in seconds, since the last one.
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

// LateShare is the share of the samples with a lag above MaxLag.
func (l ScheduleLag) LateShare() float64 { return float64(l.Late) / max(1, float64(l.Samples)) }

// Invalid reports whether the emulation fell so far behind that the figures are its own, not the fleet's: more than one sample in
// a hundred was late, or it once stalled for a quarter of a second.
func (l ScheduleLag) Invalid() bool { return l.LateShare() > maxLateShare || l.Max > maxStall }
