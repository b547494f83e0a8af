package report

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// padRows pads all samples (one row each) with zeros to the same number of backends. Early samples are shorter if backends were
// first sampled later.
func (f *Fleet) padRows() {
	f.backends = max(f.backends, len(f.Utilization[0]))
	for _, rows := range [][][]float32{f.Capacity, f.Utilization, f.Queued} {
		for i := range rows {
			for len(rows[i]) < f.backends {
				rows[i] = append(rows[i], 0)
			}
		}
	}
}

// sampleTime returns the middle of a sample's interval, in seconds from the start of the run.
func (f *Fleet) sampleTime(sample int) float64 { return (float64(sample) + 0.5) * f.SampleInterval }

// capacityPanel returns a panel with the total capacity of all backends and the part of it that was used.
func (r *Report) capacityPanel() (*plot.Plot, error) {
	fleet := r.Fleet
	capacity, used := make(plotter.XYs, len(fleet.Capacity)), make(plotter.XYs, len(fleet.Capacity))
	top := 1.0
	for i := range fleet.Capacity {
		for backend, value := range fleet.Capacity[i] {
			capacity[i].Y += float64(value)
			used[i].Y += float64(value) * float64(fleet.Utilization[i][backend])
		}
		capacity[i].X, used[i].X = fleet.sampleTime(i), fleet.sampleTime(i)
		top = max(top, capacity[i].Y)
	}
	panel := r.newPanel("capacity of all backends, and the part of it that was used", "RPCs per second", headroom*top)
	if err := addLine(panel, "capacity", blue, capacity); err != nil {
		return nil, err
	}
	return panel, addLine(panel, "used", green, used)
}

// backendPanel returns a panel with the utilization and queue of each backend as a heat map.
func (f *Fleet) backendPanel(from, to float64) *plot.Plot {
	panel := plot.New()
	panel.Title.Text = "each backend: white idle, green busy, amber to red a queue of up to a second, grey without capacity"
	panel.Y.Label.Text = "backend"
	panel.X.Tick.Marker = secondTicks{}
	heatMap := plotter.NewHeatMap(utilizationGrid{f}, utilizationPalette{})
	heatMap.Min, heatMap.Max = 0, 2
	panel.Add(heatMap)
	panel.X.Min, panel.X.Max = from, to
	return panel
}

// utilizationGrid has a column for each sample and a row for each backend. It implements plotter.GridXYZ.
type utilizationGrid struct{ fleet *Fleet }

// Dims implements plotter.GridXYZ.
func (g utilizationGrid) Dims() (columns, rows int) {
	return len(g.fleet.Utilization), len(g.fleet.Utilization[0])
}

// X implements plotter.GridXYZ.
func (g utilizationGrid) X(column int) float64 { return g.fleet.sampleTime(column) }

// Y implements plotter.GridXYZ.
func (g utilizationGrid) Y(row int) float64 { return float64(row) + 0.5 }

// Z implements plotter.GridXYZ. It returns 0 for a backend without capacity, otherwise a value from 1 for an idle backend to 2 if
// all cores are busy and at least a second of work is queued.
func (g utilizationGrid) Z(column, row int) float64 {
	capacity := g.fleet.Capacity[column][row]
	if capacity <= 0 {
		return 0
	}
	queued := 0.0 // seconds of work, at most 1
	if rpcs := float64(g.fleet.Queued[column][row]); rpcs > 0 {
		queued = min(1, rpcs/max(1, float64(capacity)))
	}
	return 1 + 0.5*float64(g.fleet.Utilization[column][row]) + 0.5*queued
}

// colorsPerHalf is the number of colors in each half of utilizationPalette: without capacity, and with capacity.
const colorsPerHalf = 64

// utilizationPalette has the colors for the values of utilizationGrid: grey below 1, where a backend has no capacity; from 1 to 2
// from white over green and amber to red. It implements palette.Palette.
type utilizationPalette struct{}

// Colors implements palette.Palette.
func (utilizationPalette) Colors() []color.Color {
	colors := make([]color.Color, 0, 2*colorsPerHalf)
	for range colorsPerHalf {
		colors = append(colors, color.RGBA{R: 90, G: 90, B: 100, A: 255})
	}
	stops := []color.RGBA{{255, 255, 255, 255}, {120, 190, 120, 255}, green, amber, red}
	for i := range colorsPerHalf {
		position := float64(i) / (colorsPerHalf - 1) * float64(len(stops)-1)
		stop := min(int(position), len(stops)-2)
		colors = append(colors, blend(stops[stop], stops[stop+1], position-float64(stop)))
	}
	return colors
}

// blend interpolates between two colors. position is 0 for the first color and 1 for the second.
func blend(from, to color.RGBA, position float64) color.RGBA {
	mix := func(a, b uint8) uint8 { return uint8(float64(a) + position*(float64(b)-float64(a))) }
	return color.RGBA{R: mix(from.R, to.R), G: mix(from.G, to.G), B: mix(from.B, to.B), A: 255}
}
