// Package report turns the trace of a day into figures by second, latencies by method, and a picture.
package report

import (
	"fmt"
	"image/color"
	"io"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"gingerfork/internal/invariant"
	"gingerfork/internal/trace"
)

// Second is what ended, and what was pushed, within one second of the day.
type Second struct {
	InTime        int
	Late          int
	Rejected      int `json:"PushedBack"`
	Aborted       int
	OfferedWeight float64 `json:"Asked"`   // criticality that ended
	InTimeWeight  float64 `json:"Weighed"` // and that in time
	Pushes        int     `json:"Messages"`
	Entries       int     `json:"Lines"`
}

// Service is the criticality answered within the soft deadline over the criticality that ended; 1 where nothing did.
func (s Second) Service() float64 {
	if s.OfferedWeight == 0 {
		return 1
	}
	return s.InTimeWeight / s.OfferedWeight
}

// Fault is a line of the script: when it began and ended, in seconds of the day.
type Fault struct {
	From, To float64
	Text     string
}

// Latency is how long a method's ok answers took, from when the RPC was due.
type Latency struct {
	Method        string
	Count         int64   `json:"N"`
	P50, P90, P99 float64 // seconds
	Max           float64 `json:"Worst"`
}

// Fleet is what the servers were able to do, and did, where somebody looked at them every Step seconds.
type Fleet struct {
	SampleInterval    float64     `json:"Step"`
	Capacity          [][]float32 `json:"Able"`  // by look and server: RPCs a second that it could do
	Utilization       [][]float32 `json:"Busy"`  // the share of its cores that was busy
	Queued            [][]float32 `json:"Waits"` // RPCs that waited there
	AchievableService float64     `json:"Most"`  // the most service that the day allowed; 0: not known

	servers int
}

// Report is a day's figures.
type Report struct {
	Seconds              []Second
	Faults               []Fault `json:"Troubles"`
	Latencies            []Latency
	WorstTenSeconds      float64 `json:"Worst10"`   // the poorest ten seconds' service
	WorstTenSecondsStart int     `json:"WorstAt"`   // where they begin
	WorstMethod          string  `json:"Poorest"`   // the method with the least service,
	WorstMethodService   float64 `json:"PoorestBy"` // and that
	Fleet                *Fleet  // nil: nobody looked
	Service              float64
	ScheduleLag          ScheduleLag `json:"Behind"`
}

// Maker reckons a report while records come, and keeps none of them.
type Builder struct {
	Report  *Report
	methods []invariant.Method
	begun   bool
	begin   float64
	end     float64
	took    []*hdrhistogram.Histogram
	asked   []float64
	weighed []float64
}

// NewMaker makes one.
func NewBuilder(methods []invariant.Method) *Builder {
	k := &Builder{Report: &Report{}, methods: methods, asked: make([]float64, len(methods)), weighed: make([]float64, len(methods))}
	for range methods {
		k.took = append(k.took, hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3))
	}
	return k
}

// Add takes a record; they come about in the order of time.
func (k *Builder) Add(x trace.Record) error {
	r := k.Report
	if !k.begun {
		k.begun, k.begin = true, x.Time
	}
	k.end = max(k.end, x.Time-k.begin)
	i := max(0, int(x.Time-k.begin))
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, Second{})
	}
	s := &r.Seconds[i]
	switch x.Kind {
	case trace.PushSent:
		s.Pushes++
		s.Entries += int(x.Value)
	case trace.FaultInjected:
		r.Faults = append(r.Faults, Fault{From: x.Time - k.begin, To: x.Time - k.begin + x.Value, Text: x.Text})
	case trace.BackendSampled:
		k.glance(i, x)
	case trace.ScheduleDelay:
		r.ScheduleLag.Observe(x.Value)
	case trace.RPCFinished:
		if x.Method >= len(k.methods) {
			return fmt.Errorf("a record of method %d, of %d", x.Method, len(k.methods))
		}
		m := k.methods[x.Method]
		s.OfferedWeight += m.Criticality
		k.asked[x.Method] += m.Criticality
		switch x.Text {
		case "ok":
			if err := k.took[x.Method].RecordValue(max(1, int64(x.Value*1e6))); err != nil {
				return fmt.Errorf("an answer after %v s: %w", x.Value, err)
			}
			if x.Value <= m.SoftDeadline {
				s.InTime++
				s.InTimeWeight += m.Criticality
				k.weighed[x.Method] += m.Criticality
			} else {
				s.Late++
			}
		case "pushed back":
			s.Rejected++
		default:
			s.Aborted++
		}
	}
	return nil
}

// Done reckons what is of the whole, and gives the report.
func (k *Builder) Finish() *Report {
	r := k.Report
	for i := range r.Faults {
		r.Faults[i].To = min(r.Faults[i].To, k.end)
	}
	r.Latencies, r.WorstMethod, r.WorstMethodService = nil, "", math.Inf(1)
	asked, weighed := 0.0, 0.0
	for i, m := range k.methods {
		h := k.took[i]
		q := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1e6 }
		r.Latencies = append(r.Latencies, Latency{m.Name, h.TotalCount(), q(50), q(90), q(99), float64(h.Max()) / 1e6})
		if k.asked[i] > 0 && k.weighed[i]/k.asked[i] < r.WorstMethodService {
			r.WorstMethod, r.WorstMethodService = m.Name, k.weighed[i]/k.asked[i]
		}
		asked, weighed = asked+k.asked[i], weighed+k.weighed[i]
	}
	r.Service = 1
	if asked > 0 {
		r.Service = weighed / asked
	}
	r.WorstTenSeconds = 1
	for i := 0; i+10 <= len(r.Seconds); i++ {
		var sum Second
		for _, s := range r.Seconds[i : i+10] {
			sum.OfferedWeight, sum.InTimeWeight = sum.OfferedWeight+s.OfferedWeight, sum.InTimeWeight+s.InTimeWeight
		}
		if sum.Service() < r.WorstTenSeconds {
			r.WorstTenSeconds, r.WorstTenSecondsStart = sum.Service(), i
		}
	}
	return r
}

// Make reckons the figures of a trace whose records are in the order of time.
func Build(records []trace.Record, methods []invariant.Method) (*Report, error) {
	k := NewBuilder(methods)
	for _, x := range records {
		if err := k.Add(x); err != nil {
			return nil, err
		}
	}
	return k.Finish(), nil
}

// LateMost is how late, in seconds, an emulated server or a source of load may do what was due before its figures are
// in doubt: a fortieth of a soft deadline of 800 ms, less than what chance makes of a mean wait.
const MaxLag = 0.02

// Behind tells how far those that emulate fell behind real time.
type ScheduleLag struct {
	Samples int     `json:"Looks"` // about one a second and party
	Late    int     // of them, those that found something done more than LateMost late
	Max     float64 `json:"Worst"` // seconds
}

// Look counts a look that found things done so many seconds late at most.
func (b *ScheduleLag) Observe(late float64) {
	if b.Samples++; late > MaxLag {
		b.Late++
	}
	b.Max = max(b.Max, late)
}

// Add counts another's looks.
func (b *ScheduleLag) Merge(o ScheduleLag) {
	b.Samples, b.Late, b.Max = b.Samples+o.Samples, b.Late+o.Late, max(b.Max, o.Max)
}

// Share is the part of the looks that found something late.
func (b ScheduleLag) LateShare() float64 { return float64(b.Late) / max(1, float64(b.Samples)) }

// Void tells whether the emulation fell so far behind that the figures are its own, not the fleet's: more than one look in
// a hundred found it late, or it once stood still for a quarter of a second.
func (b ScheduleLag) Invalid() bool { return b.LateShare() > 0.01 || b.Max > 0.25 }

// Text writes the figures that a terminal shows.
func (r *Report) WriteText(out io.Writer) {
	if r.Fleet != nil && r.Fleet.AchievableService > 0 {
		fmt.Fprintf(out, "service %.3f of %.3f that the servers' true state allowed\n", r.Service, r.Fleet.AchievableService)
	}
	fmt.Fprintf(out, "poorest ten seconds from %d s: service %.3f; poorest method %s: %.3f\n", r.WorstTenSecondsStart, r.WorstTenSeconds, r.WorstMethod, r.WorstMethodService)
	if r.ScheduleLag.Max > 0 {
		fmt.Fprintf(out, "emulation at most %.1f ms late, more than %.0f ms in %.2f%% of looks\n", 1e3*r.ScheduleLag.Max, 1e3*MaxLag, 100*r.ScheduleLag.LateShare())
	}
	if r.ScheduleLag.Invalid() {
		fmt.Fprintln(out, "VOID: the emulation fell behind; ask for less, or give it more cores")
	}
	for _, l := range r.Latencies {
		fmt.Fprintf(out, "%s: %d ok, median %.0f ms, 90th %.0f, 99th %.0f, worst %.0f\n", l.Method, l.Count, 1e3*l.P50, 1e3*l.P90, 1e3*l.P99, 1e3*l.Max)
	}
}

var (
	green = color.RGBA{R: 46, G: 125, B: 50, A: 255}
	amber = color.RGBA{R: 239, G: 140, B: 0, A: 255}
	blue  = color.RGBA{R: 21, G: 101, B: 192, A: 255}
	red   = color.RGBA{R: 198, G: 40, B: 40, A: 255}
	shade = color.NRGBA{R: 198, G: 40, B: 40, A: 28}
)

// Draw writes a PNG: RPCs by second and how they ended, service by second, lines and messages; troubles are shaded, and
// named in the lowest panel.
func (r *Report) WritePNG(out io.Writer, title string) error {
	length := float64(len(r.Seconds))
	panel := func(name, unit string, most float64) *plot.Plot {
		p := plot.New()
		p.Title.Text, p.Y.Label.Text = name, unit
		p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, length, 0, most
		p.Legend.Top, p.Legend.Padding, p.Legend.XOffs = true, vg.Points(2), vg.Points(-6)
		p.X.Tick.Marker = seconds{}
		p.Add(plotter.NewGrid())
		for _, t := range r.Faults {
			to := max(t.To, t.From+length/300)
			box, err := plotter.NewPolygon(plotter.XYs{{X: t.From, Y: 0}, {X: to, Y: 0}, {X: to, Y: most}, {X: t.From, Y: most}})
			if err == nil {
				box.Color, box.Width = shade, 0
				p.Add(box)
			}
		}
		return p
	}
	line := func(p *plot.Plot, name string, c color.Color, v func(Second) float64) error {
		xy := make(plotter.XYs, len(r.Seconds))
		for i, s := range r.Seconds {
			xy[i].X, xy[i].Y = float64(i)+0.5, v(s)
		}
		l, err := plotter.NewLine(xy)
		if err != nil {
			return fmt.Errorf("draw %s: %w", name, err)
		}
		l.Color, l.Width = c, vg.Points(1.4)
		p.Add(l)
		p.Legend.Add(name, l)
		return nil
	}
	most := func(v func(Second) float64) float64 {
		top := 1.0
		for _, s := range r.Seconds {
			top = max(top, v(s))
		}
		return 1.25 * top
	}
	rpcs := panel(title+": RPCs by second, as they ended", "RPCs", most(func(s Second) float64 { return float64(s.InTime + s.Late + s.Rejected + s.Aborted) }))
	service := panel("service by second", "share", 1.25)
	orders := panel("orders by second", "lines, messages", most(func(s Second) float64 { return float64(max(s.Entries, s.Pushes)) }))
	what := panel("troubles", "", float64(len(r.Faults))+0.5)
	what.Y.Tick.Marker = plot.ConstantTicks(nil)
	what.X.Label.Text = "seconds of the day"
	for _, err := range []error{
		line(rpcs, "ok in time", green, func(s Second) float64 { return float64(s.InTime) }),
		line(rpcs, "ok, late", amber, func(s Second) float64 { return float64(s.Late) }),
		line(rpcs, "pushed back", blue, func(s Second) float64 { return float64(s.Rejected) }),
		line(rpcs, "aborted", red, func(s Second) float64 { return float64(s.Aborted) }),
		line(service, "service", green, Second.Service),
		line(orders, "lines", blue, func(s Second) float64 { return float64(s.Entries) }),
		line(orders, "messages", amber, func(s Second) float64 { return float64(s.Pushes) }),
	} {
		if err != nil {
			return err
		}
	}
	var xy plotter.XYs
	var names []string
	for i, t := range r.Faults {
		// A name that would run over the right edge begins further left.
		x := min(t.From, length*(1-0.0085*float64(len(t.Text))))
		xy, names = append(xy, plotter.XY{X: max(0, x), Y: float64(len(r.Faults)-i) - 0.6}), append(names, t.Text)
	}
	if len(xy) > 0 {
		labels, err := plotter.NewLabels(plotter.XYLabels{XYs: xy, Labels: names})
		if err != nil {
			return fmt.Errorf("draw the troubles' names: %w", err)
		}
		what.Add(labels)
	}
	all := [][]*plot.Plot{{rpcs}, {service}, {orders}, {what}}
	if r.Fleet != nil && len(r.Fleet.Utilization) > 0 {
		able, use, err := r.Fleet.panels(panel)
		if err != nil {
			return err
		}
		all = [][]*plot.Plot{{rpcs}, {service}, {able}, {use}, {orders}, {what}}
	}
	img := vgimg.New(12*vg.Inch, vg.Length(len(all))*3.25*vg.Inch)
	dc := draw.New(img)
	tiles := draw.Tiles{Rows: len(all), Cols: 1, PadX: vg.Points(8), PadY: vg.Points(8), PadTop: vg.Points(8), PadBottom: vg.Points(8), PadLeft: vg.Points(8), PadRight: vg.Points(14)}
	canvases := plot.Align(all, tiles, dc)
	for i := range all {
		all[i][0].Draw(canvases[i][0])
	}
	_, err := vgimg.PngCanvas{Canvas: img}.WriteTo(out)
	return err
}
