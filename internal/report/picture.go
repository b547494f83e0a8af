package report

import (
	"fmt"
	"image/color"
	"io"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

var (
	green      = color.RGBA{R: 46, G: 125, B: 50, A: 255}
	amber      = color.RGBA{R: 239, G: 140, B: 0, A: 255}
	blue       = color.RGBA{R: 21, G: 101, B: 192, A: 255}
	red        = color.RGBA{R: 198, G: 40, B: 40, A: 255}
	faultShade = color.NRGBA{R: 198, G: 40, B: 40, A: 28}
)

const (
	lineWidth            = 1.4  // points
	headroom             = 1.25 // ratio of an axis's maximum to the largest value
	pictureWidth         = 12 * vg.Inch
	panelHeight          = 3.25 * vg.Inch
	panelPadding         = 8      // points
	panelRightPadding    = 14     // points
	minFaultWidthDivisor = 300    // a fault is drawn at least as wide as the run divided by this, so that short faults are visible
	characterWidth       = 0.0085 // approximate width of a character, as a share of the time axis
)

// WritePNG writes a picture with panels for the RPCs of each second by outcome, the service of each second, and pushes. Faults are
// shaded in all of these, and named in the lowest panel. If backends were sampled, two more panels show their capacity and their
// utilization.
func (r *Report) WritePNG(out io.Writer, title string) error {
	rpcs, err := r.rpcPanel(title)
	if err != nil {
		return err
	}
	service, err := r.servicePanel()
	if err != nil {
		return err
	}
	pushes, err := r.pushPanel()
	if err != nil {
		return err
	}
	faults, err := r.faultPanel()
	if err != nil {
		return err
	}
	panels := []*plot.Plot{rpcs, service}
	if r.Fleet != nil && len(r.Fleet.Utilization) > 0 {
		r.Fleet.padRows()
		capacity, err := r.capacityPanel()
		if err != nil {
			return err
		}
		panels = append(panels, capacity, r.Fleet.backendPanel(capacity.X.Min, capacity.X.Max))
	}
	return writePanels(out, append(panels, pushes, faults))
}

// writePanels writes panels one below the other as a PNG, with their time axes aligned.
func writePanels(out io.Writer, panels []*plot.Plot) error {
	rows := make([][]*plot.Plot, 0, len(panels))
	for _, panel := range panels {
		rows = append(rows, []*plot.Plot{panel})
	}
	image := vgimg.New(pictureWidth, vg.Length(len(rows))*panelHeight)
	canvas := draw.New(image)
	padding := vg.Points(panelPadding)
	tiles := draw.Tiles{
		Rows: len(rows), Cols: 1, PadX: padding, PadY: padding, PadTop: padding, PadBottom: padding, PadLeft: padding,
		PadRight: vg.Points(panelRightPadding),
	}
	canvases := plot.Align(rows, tiles, canvas)
	for i := range rows {
		rows[i][0].Draw(canvases[i][0])
	}
	_, err := vgimg.PngCanvas{Canvas: image}.WriteTo(out)
	return err
}

// newPanel returns a panel whose x axis is the time of the run, with faults shaded. top is the maximum of the y axis.
func (r *Report) newPanel(title, unit string, top float64) *plot.Plot {
	duration := float64(len(r.Seconds))
	panel := plot.New()
	panel.Title.Text, panel.Y.Label.Text = title, unit
	panel.X.Min, panel.X.Max, panel.Y.Min, panel.Y.Max = 0, duration, 0, top
	panel.Legend.Top, panel.Legend.Padding, panel.Legend.XOffs = true, vg.Points(2), vg.Points(-6)
	panel.X.Tick.Marker = secondTicks{}
	panel.Add(plotter.NewGrid())
	for _, fault := range r.Faults {
		to := max(fault.To, fault.From+duration/minFaultWidthDivisor)
		box, err := plotter.NewPolygon(plotter.XYs{{X: fault.From, Y: 0}, {X: to, Y: 0}, {X: to, Y: top}, {X: fault.From, Y: top}})
		if err != nil {
			continue // a fault whose time is not a finite number can't be drawn
		}
		box.Color, box.Width = faultShade, 0
		panel.Add(box)
	}
	return panel
}

// series is a line of a panel that shows a value of each second.
type series struct {
	name  string
	color color.Color
	value func(Second) float64
}

// addSeries draws lines in a panel and adds them to its legend.
func (r *Report) addSeries(panel *plot.Plot, lines ...series) error {
	for _, s := range lines {
		points := make(plotter.XYs, len(r.Seconds))
		for i, second := range r.Seconds {
			points[i].X, points[i].Y = float64(i)+0.5, s.value(second)
		}
		if err := addLine(panel, s.name, s.color, points); err != nil {
			return err
		}
	}
	return nil
}

// addLine draws a line in a panel and adds it to its legend.
func addLine(panel *plot.Plot, name string, lineColor color.Color, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("draw %s: %w", name, err)
	}
	line.Color, line.Width = lineColor, vg.Points(lineWidth)
	panel.Add(line)
	panel.Legend.Add(name, line)
	return nil
}

// axisTop returns the maximum of an axis that shows a value of each second.
func (r *Report) axisTop(value func(Second) float64) float64 {
	largest := 1.0
	for _, second := range r.Seconds {
		largest = max(largest, value(second))
	}
	return headroom * largest
}

func (r *Report) rpcPanel(title string) (*plot.Plot, error) {
	top := r.axisTop(func(s Second) float64 { return float64(s.InTime + s.Late + s.Rejected + s.Aborted) })
	panel := r.newPanel(title+": RPCs per second by outcome", "RPCs", top)
	return panel, r.addSeries(panel,
		series{"ok in time", green, func(s Second) float64 { return float64(s.InTime) }},
		series{"ok, late", amber, func(s Second) float64 { return float64(s.Late) }},
		series{"pushed back", blue, func(s Second) float64 { return float64(s.Rejected) }},
		series{"aborted", red, func(s Second) float64 { return float64(s.Aborted) }},
	)
}

func (r *Report) servicePanel() (*plot.Plot, error) {
	panel := r.newPanel("service per second", "share", headroom)
	return panel, r.addSeries(panel, series{"service", green, Second.Service})
}

func (r *Report) pushPanel() (*plot.Plot, error) {
	top := r.axisTop(func(s Second) float64 { return float64(max(s.Entries, s.Pushes)) })
	panel := r.newPanel("pushes per second", "entries, pushes", top)
	return panel, r.addSeries(panel,
		series{"entries", blue, func(s Second) float64 { return float64(s.Entries) }},
		series{"pushes", amber, func(s Second) float64 { return float64(s.Pushes) }},
	)
}

// faultPanel returns a panel with the texts of the faults, one below the other.
func (r *Report) faultPanel() (*plot.Plot, error) {
	panel := r.newPanel("faults", "", float64(len(r.Faults))+0.5)
	panel.Y.Tick.Marker = plot.ConstantTicks(nil)
	panel.X.Label.Text = "seconds since the start of the run"
	if len(r.Faults) == 0 {
		return panel, nil
	}
	duration := float64(len(r.Seconds))
	var names plotter.XYLabels
	for i, fault := range r.Faults {
		// A text that would extend beyond the right edge starts further left.
		x := min(fault.From, duration*(1-characterWidth*float64(len(fault.Text))))
		names.XYs = append(names.XYs, plotter.XY{X: max(0, x), Y: float64(len(r.Faults)-i) - 0.6})
		names.Labels = append(names.Labels, fault.Text)
	}
	labels, err := plotter.NewLabels(names)
	if err != nil {
		return nil, fmt.Errorf("draw the texts of faults: %w", err)
	}
	panel.Add(labels)
	return panel, nil
}

// maxTickIntervals is the maximum number of intervals between ticks on a time axis.
const maxTickIntervals = 12

// secondTicks places ticks at multiples of a round number of seconds.
type secondTicks struct{}

// Ticks implements plot.Ticker.
func (secondTicks) Ticks(from, to float64) (ticks []plot.Tick) {
	step := 1.0
	for _, longer := range []float64{2, 5, 10, 20, 30, 60, 120, 300, 600, 1800, 3600, 7200, 21600} {
		if (to-from)/step <= maxTickIntervals {
			break
		}
		step = longer
	}
	for at := math.Ceil(from/step) * step; at <= to; at += step {
		ticks = append(ticks, plot.Tick{Value: at, Label: fmt.Sprintf("%g", at)})
	}
	return ticks
}
