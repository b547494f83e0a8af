package measure

import (
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

const (
	pictureWidth  = 9 * vg.Inch
	pictureHeight = 5 * vg.Inch
)

// drawGoodput draws the goodput by offered load as a PNG: with admission control, without it, and with it but without client
// retries.
func drawGoodput(out io.Writer, controlled, uncontrolled, withoutRetries []stormRun) error {
	picture := plot.New()
	picture.Title.Text = "goodput by offered load: 100 emulated backends, 300 proxies, 2 coordinators, virtual time"
	picture.X.Label.Text = "offered load without client retries, share of capacity"
	picture.Y.Label.Text = "answered within the soft deadline, share of capacity"
	picture.X.Min, picture.X.Max, picture.Y.Min, picture.Y.Max = 0, 3.1, 0, 1.1
	picture.Legend.Top, picture.Legend.XOffs, picture.Legend.Padding = true, vg.Points(-8), vg.Points(2)
	picture.Add(plotter.NewGrid())
	for _, curve := range []struct {
		name  string
		color color.RGBA
		runs  []stormRun
	}{
		{"admission control, clients retry", color.RGBA{46, 125, 50, 255}, controlled},
		{"no admission control, clients retry", color.RGBA{198, 40, 40, 255}, uncontrolled},
		{"admission control, clients don't retry", color.RGBA{21, 101, 192, 255}, withoutRetries},
	} {
		positions := make(plotter.XYs, len(curve.runs))
		for i, run := range curve.runs {
			positions[i].X, positions[i].Y = run.Offered, run.Goodput/stormFleetCapacity
		}
		line, dots, err := plotter.NewLinePoints(positions)
		if err != nil {
			return err
		}
		line.Color, line.Width = curve.color, vg.Points(1.5)
		dots.Color, dots.Shape = curve.color, draw.CircleGlyph{}
		picture.Add(line, dots)
		picture.Legend.Add(curve.name, line, dots)
	}
	image := vgimg.New(pictureWidth, pictureHeight)
	picture.Draw(draw.New(image))
	_, err := vgimg.PngCanvas{Canvas: image}.WriteTo(out)
	return err
}
