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

	"gingerfork/internal/rules"
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
}

// Make reckons the figures of a trace whose records are in the order of time.
func Make(records []trace.Record, methods []rules.Method) (*Report, error) {
	r := &Report{}
	if len(records) == 0 {
		return r, nil
	}
	begin := records[0].T
	at := func(t float64) *Second {
		i := int(t - begin)
		for len(r.Seconds) <= i {
			r.Seconds = append(r.Seconds, Second{})
		}
		return &r.Seconds[i]
	}
	var took []*hdrhistogram.Histogram
	for range methods {
		took = append(took, hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3))
	}
	asked, weighed := make([]float64, len(methods)), make([]float64, len(methods))
	end := records[len(records)-1].T - begin
	for _, x := range records {
		s := at(x.T)
		switch x.Kind {
		case trace.Push:
			s.Messages++
			s.Lines += int(x.X)
		case trace.Trouble:
			t := Trouble{From: x.T - begin, To: min(end, x.T-begin+x.X), Text: x.Text}
			r.Troubles = append(r.Troubles, t)
		case trace.End:
			if x.Method >= len(methods) {
				return nil, fmt.Errorf("a record of method %d, of %d", x.Method, len(methods))
			}
			m := methods[x.Method]
			s.Asked += m.Criticality
			asked[x.Method] += m.Criticality
			switch {
			case x.Text == "ok":
				if err := took[x.Method].RecordValue(max(1, int64(x.X*1e6))); err != nil {
					return nil, fmt.Errorf("an answer after %v s: %w", x.X, err)
				}
				if x.X <= m.SoftDeadline {
					s.InTime++
					s.Weighed += m.Criticality
					weighed[x.Method] += m.Criticality
				} else {
					s.Late++
				}
			case x.Text == "pushed back":
				s.PushedBack++
			default:
				s.Aborted++
			}
		}
	}
	r.PoorestBy = math.Inf(1)
	for i, m := range methods {
		h := took[i]
		q := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1e6 }
		r.Latencies = append(r.Latencies, Latency{m.Name, h.TotalCount(), q(50), q(90), q(99), float64(h.Max()) / 1e6})
		if asked[i] > 0 && weighed[i]/asked[i] < r.PoorestBy {
			r.Poorest, r.PoorestBy = m.Name, weighed[i]/asked[i]
		}
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
	return r, nil
}

// Text writes the figures that a terminal shows.
func (r *Report) Text(out io.Writer) {
	fmt.Fprintf(out, "poorest ten seconds from %d s: service %.3f; poorest method %s: %.3f\n", r.WorstAt, r.Worst10, r.Poorest, r.PoorestBy)
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
				box.Color, box.LineStyle.Width = shade, 0
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
