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
	InTime, Late, PushedBack, Aborted int
	Asked, Weighed                    float64 // criticality that ended, and that in time
	Messages, Lines                   int
}

// Service is the criticality answered within the soft deadline over the criticality that ended; 1 where nothing did.
func (s Second) Service() float64 {
	if s.Asked == 0 {
		return 1
	}
	return s.Weighed / s.Asked
}

// Trouble is a line of the script: when it began and ended, in seconds of the day.
type Trouble struct {
	From, To float64
	Text     string
}

// Latency is how long a method's ok answers took, from when the RPC was due.
type Latency struct {
	Method               string
	N                    int64
	P50, P90, P99, Worst float64 // seconds
}

// Fleet is what the servers were able to do, and did, where somebody looked at them every Step seconds.
type Fleet struct {
	Step  float64
	Able  [][]float32 // by look and server: RPCs a second that it could do
	Busy  [][]float32 // the share of its cores that was busy
	Waits [][]float32 // RPCs that waited there
	Most  float64     // the most service that the day allowed; 0: not known

	servers int
}

// Report is a day's figures.
type Report struct {
	Seconds   []Second
	Troubles  []Trouble
	Latencies []Latency
	Worst10   float64 // the poorest ten seconds' service
	WorstAt   int     // where they begin
	Poorest   string  // the method with the least service,
	PoorestBy float64 // and that
	Fleet     *Fleet  // nil: nobody looked
	Service   float64
	Behind    Behind
}

// Maker reckons a report while records come, and keeps none of them.
type Maker struct {
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
func NewMaker(methods []invariant.Method) *Maker {
	k := &Maker{Report: &Report{}, methods: methods, asked: make([]float64, len(methods)), weighed: make([]float64, len(methods))}
	for range methods {
		k.took = append(k.took, hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3))
	}
	return k
}

// Add takes a record; they come about in the order of time.
func (k *Maker) Add(x trace.Record) error {
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
		s.Messages++
		s.Lines += int(x.Value)
	case trace.FaultInjected:
		r.Troubles = append(r.Troubles, Trouble{From: x.Time - k.begin, To: x.Time - k.begin + x.Value, Text: x.Text})
	case trace.BackendSampled:
		k.glance(i, x)
	case trace.ScheduleDelay:
		r.Behind.Look(x.Value)
	case trace.RPCFinished:
		if x.Method >= len(k.methods) {
			return fmt.Errorf("a record of method %d, of %d", x.Method, len(k.methods))
		}
		m := k.methods[x.Method]
		s.Asked += m.Criticality
		k.asked[x.Method] += m.Criticality
		switch x.Text {
		case "ok":
			if err := k.took[x.Method].RecordValue(max(1, int64(x.Value*1e6))); err != nil {
				return fmt.Errorf("an answer after %v s: %w", x.Value, err)
			}
			if x.Value <= m.SoftDeadline {
				s.InTime++
				s.Weighed += m.Criticality
				k.weighed[x.Method] += m.Criticality
			} else {
				s.Late++
			}
		case "pushed back":
			s.PushedBack++
		default:
			s.Aborted++
		}
	}
	return nil
}

// Done reckons what is of the whole, and gives the report.
func (k *Maker) Done() *Report {
	r := k.Report
	for i := range r.Troubles {
		r.Troubles[i].To = min(r.Troubles[i].To, k.end)
	}
	r.Latencies, r.Poorest, r.PoorestBy = nil, "", math.Inf(1)
	asked, weighed := 0.0, 0.0
	for i, m := range k.methods {
		h := k.took[i]
		q := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1e6 }
		r.Latencies = append(r.Latencies, Latency{m.Name, h.TotalCount(), q(50), q(90), q(99), float64(h.Max()) / 1e6})
		if k.asked[i] > 0 && k.weighed[i]/k.asked[i] < r.PoorestBy {
			r.Poorest, r.PoorestBy = m.Name, k.weighed[i]/k.asked[i]
		}
		asked, weighed = asked+k.asked[i], weighed+k.weighed[i]
	}
	r.Service = 1
	if asked > 0 {
		r.Service = weighed / asked
	}
	r.Worst10 = 1
	for i := 0; i+10 <= len(r.Seconds); i++ {
		var sum Second
		for _, s := range r.Seconds[i : i+10] {
			sum.Asked, sum.Weighed = sum.Asked+s.Asked, sum.Weighed+s.Weighed
		}
		if sum.Service() < r.Worst10 {
			r.Worst10, r.WorstAt = sum.Service(), i
		}
	}
	return r
}

// Make reckons the figures of a trace whose records are in the order of time.
func Make(records []trace.Record, methods []invariant.Method) (*Report, error) {
	k := NewMaker(methods)
	for _, x := range records {
		if err := k.Add(x); err != nil {
			return nil, err
		}
	}
	return k.Done(), nil
}

// LateMost is how late, in seconds, an emulated server or a source of load may do what was due before its figures are
// in doubt: a fortieth of a soft deadline of 800 ms, less than what chance makes of a mean wait.
const LateMost = 0.02

// Behind tells how far those that emulate fell behind real time.
type Behind struct {
	Looks int     // about one a second and party
	Late  int     // of them, those that found something done more than LateMost late
	Worst float64 // seconds
}

// Look counts a look that found things done so many seconds late at most.
func (b *Behind) Look(late float64) {
	if b.Looks++; late > LateMost {
		b.Late++
	}
	b.Worst = max(b.Worst, late)
}

// Add counts another's looks.
func (b *Behind) Add(o Behind) {
	b.Looks, b.Late, b.Worst = b.Looks+o.Looks, b.Late+o.Late, max(b.Worst, o.Worst)
}

// Share is the part of the looks that found something late.
func (b Behind) Share() float64 { return float64(b.Late) / max(1, float64(b.Looks)) }

// Void tells whether the emulation fell so far behind that the figures are its own, not the fleet's: more than one look in
// a hundred found it late, or it once stood still for a quarter of a second.
func (b Behind) Void() bool { return b.Share() > 0.01 || b.Worst > 0.25 }

// Text writes the figures that a terminal shows.
func (r *Report) Text(out io.Writer) {
	if r.Fleet != nil && r.Fleet.Most > 0 {
		fmt.Fprintf(out, "service %.3f of %.3f that the servers' true state allowed\n", r.Service, r.Fleet.Most)
	}
	fmt.Fprintf(out, "poorest ten seconds from %d s: service %.3f; poorest method %s: %.3f\n", r.WorstAt, r.Worst10, r.Poorest, r.PoorestBy)
	if r.Behind.Worst > 0 {
		fmt.Fprintf(out, "emulation at most %.1f ms late, more than %.0f ms in %.2f%% of looks\n", 1e3*r.Behind.Worst, 1e3*LateMost, 100*r.Behind.Share())
	}
	if r.Behind.Void() {
		fmt.Fprintln(out, "VOID: the emulation fell behind; ask for less, or give it more cores")
	}
	for _, l := range r.Latencies {
		fmt.Fprintf(out, "%s: %d ok, median %.0f ms, 90th %.0f, 99th %.0f, worst %.0f\n", l.Method, l.N, 1e3*l.P50, 1e3*l.P90, 1e3*l.P99, 1e3*l.Worst)
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
func (r *Report) Draw(out io.Writer, title string) error {
	length := float64(len(r.Seconds))
	panel := func(name, unit string, most float64) *plot.Plot {
		p := plot.New()
		p.Title.Text, p.Y.Label.Text = name, unit
		p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, length, 0, most
		p.Legend.Top, p.Legend.Padding, p.Legend.XOffs = true, vg.Points(2), vg.Points(-6)
		p.X.Tick.Marker = seconds{}
		p.Add(plotter.NewGrid())
		for _, t := range r.Troubles {
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
	rpcs := panel(title+": RPCs by second, as they ended", "RPCs", most(func(s Second) float64 { return float64(s.InTime + s.Late + s.PushedBack + s.Aborted) }))
	service := panel("service by second", "share", 1.25)
	orders := panel("orders by second", "lines, messages", most(func(s Second) float64 { return float64(max(s.Lines, s.Messages)) }))
	what := panel("troubles", "", float64(len(r.Troubles))+0.5)
	what.Y.Tick.Marker = plot.ConstantTicks(nil)
	what.X.Label.Text = "seconds of the day"
	for _, err := range []error{
		line(rpcs, "ok in time", green, func(s Second) float64 { return float64(s.InTime) }),
		line(rpcs, "ok, late", amber, func(s Second) float64 { return float64(s.Late) }),
		line(rpcs, "pushed back", blue, func(s Second) float64 { return float64(s.PushedBack) }),
		line(rpcs, "aborted", red, func(s Second) float64 { return float64(s.Aborted) }),
		line(service, "service", green, Second.Service),
		line(orders, "lines", blue, func(s Second) float64 { return float64(s.Lines) }),
		line(orders, "messages", amber, func(s Second) float64 { return float64(s.Messages) }),
	} {
		if err != nil {
			return err
		}
	}
	var xy plotter.XYs
	var names []string
	for i, t := range r.Troubles {
		// A name that would run over the right edge begins further left.
		x := min(t.From, length*(1-0.0085*float64(len(t.Text))))
		xy, names = append(xy, plotter.XY{X: max(0, x), Y: float64(len(r.Troubles)-i) - 0.6}), append(names, t.Text)
	}
	if len(xy) > 0 {
		labels, err := plotter.NewLabels(plotter.XYLabels{XYs: xy, Labels: names})
		if err != nil {
			return fmt.Errorf("draw the troubles' names: %w", err)
		}
		what.Add(labels)
	}
	all := [][]*plot.Plot{{rpcs}, {service}, {orders}, {what}}
	if r.Fleet != nil && len(r.Fleet.Busy) > 0 {
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
