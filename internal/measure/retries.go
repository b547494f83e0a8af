package measure

import (
	"fmt"
	"image/color"
	"io"
	"math"
	"runtime"
	"strings"
	"sync"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"gingerfork/internal/scenario"
	"gingerfork/internal/trace"
)

// Storm is one point of the retry storm: what was offered, and what came of it.
type Storm struct {
	Offered  float64 // of the capacity, by clients that ask for the first time
	Came     float64 // RPCs a second, those of clients that come again among them
	Good     float64 // RPCs a second answered within the soft deadline
	Service  float64
	Tries    float64 // a second, at servers
	Broken   int     // times that a rule was broken
	Levels   bool
	Again    bool
	Hanging  bool
	Seed     uint64
	Capacity float64
}

// storm is the day of it: 100 servers, 300 proxies.
func (s Storm) day() (*scenario.Scenario, error) {
	const servers, fronts, each = 100, 300, 30.0
	b := &strings.Builder{}
	fmt.Fprintf(b, "day storm\nsettings storm.conf\nlength 40s\nseed %d\ncoordinators 2\nservers %d capacity %g\nfrontends %d rate %g uneven 0.5\nmix 70%% 30%%\n",
		s.Seed, servers, each, fronts, s.Offered*servers*each/fronts)
	if s.Again {
		fmt.Fprintln(b, "clients again 70% after 200ms at-most 3")
	}
	if s.Hanging {
		fmt.Fprintln(b, "at 12s hang servers 10% for 8s")
	}
	return scenario.Read("storm.day", b.String(), func(string) ([]byte, error) {
		text, err := scenario.File("region.conf")
		if !s.Levels {
			text = []byte(strings.Replace(string(text), "level-kind      share", "level-kind      none", 1))
		}
		return text, err
	})
}

func (s Storm) play() (Storm, error) {
	d, err := s.day()
	if err != nil {
		return s, err
	}
	s.Capacity = 3000
	r, err := scenario.PlayVirtual(d, scenario.Options{})
	if err != nil {
		return s, err
	}
	limits := d.Limits()
	begin := math.Inf(1)
	const settle = 5 // what the start costs is not the storm's
	for _, x := range r.Records {
		begin = min(begin, x.Time)
		if x.Time-x.Value < begin+settle {
			continue
		}
		switch x.Kind {
		case trace.AttemptSent:
			s.Tries++
		case trace.RPCFinished:
			s.Came++
			if x.Text == "ok" && x.Value <= limits.Methods[x.Method].SoftDeadline {
				s.Good++
			}
		}
	}
	span := d.Duration - settle
	s.Came, s.Good, s.Tries = s.Came/span, s.Good/span, s.Tries/span
	s.Service = r.Report.Service.Share()
	for _, v := range r.Report.Rules {
		s.Broken += v.Violations
	}
	return s, nil
}

// Storms plays points on all cores, in their order.
func Storms(all []Storm) error {
	errs := make([]error, len(all))
	var work sync.WaitGroup
	next := make(chan int)
	for range runtime.GOMAXPROCS(0) {
		work.Add(1)
		go func() {
			defer work.Done()
			for i := range next {
				all[i], errs[i] = all[i].play()
			}
		}()
	}
	for i := range all {
		next <- i
	}
	close(next)
	work.Wait()
	for i, err := range errs {
		if err != nil {
			return fmt.Errorf("play %v of capacity, seed %d: %w", all[i].Offered, all[i].Seed, err)
		}
	}
	return nil
}

// Retries shows the retry storm: goodput against offered load, and a tenth of the fleet that hangs at 0.9 of capacity.
// picture, if not nil, is given the plot as a PNG.
func Retries(out, picture io.Writer) error {
	offered := []float64{0.2, 0.5, 0.8, 0.9, 1, 1.1, 1.3, 1.6, 2, 2.5, 3}
	ways := [][2]bool{{true, true}, {false, true}, {true, false}}
	all := make([]Storm, 0, len(ways)*len(offered))
	for _, how := range ways {
		for _, x := range offered {
			all = append(all, Storm{Offered: x, Levels: how[0], Again: how[1], Seed: 4})
		}
	}
	if err := Storms(all); err != nil {
		return err
	}
	n := len(offered)
	fmt.Fprintln(out, "| offered, of capacity | RPCs a second that came | tries a second | in time a second, levels | without levels | levels, nobody comes again | rules broken with levels |\n| --- | --- | --- | --- | --- | --- | --- |")
	peak, last := 0.0, 0.0
	for i, x := range offered {
		a, b, c := all[i], all[n+i], all[2*n+i]
		fmt.Fprintf(out, "| %.1f | %.0f | %.0f | %.0f | %.0f | %.0f | %d |\n", x, a.Came, a.Tries, a.Good, b.Good, c.Good, a.Broken)
		peak, last = max(peak, a.Good), a.Good
	}
	fmt.Fprintf(out, "\nAt 3 times the capacity %.2f of the peak is still answered in time.\n", last/peak)
	if picture != nil {
		if err := drawStorm(picture, offered, all); err != nil {
			return fmt.Errorf("draw the storm: %w", err)
		}
	}
	var hang []Storm
	for _, how := range [][3]bool{{true, false, false}, {true, false, true}, {true, true, false}, {true, true, true}, {false, true, true}} {
		for seed := range uint64(6) {
			hang = append(hang, Storm{Offered: 0.9, Levels: how[0], Again: how[1], Hanging: how[2], Seed: seed + 1})
		}
	}
	if err := Storms(hang); err != nil {
		return err
	}
	fmt.Fprintln(out, "\n| levels | clients come again | a tenth hangs 8 s | came, of offered | tries, of offered | service, mean of 6 seeds | least | rules broken |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
	word := map[bool]string{true: "yes", false: "no"}
	for at := 0; at < len(hang); at += 6 {
		came, tries, mean, least, broken := 0.0, 0.0, 0.0, 1.0, 0
		for _, s := range hang[at : at+6] {
			came, tries, mean, least = came+s.Came/6, tries+s.Tries/6, mean+s.Service/6, min(least, s.Service)
			broken += s.Broken
		}
		s := hang[at]
		fmt.Fprintf(out, "| %s | %s | %s | %.2f | %.2f | %.3f | %.3f | %d |\n", word[s.Levels], word[s.Again], word[s.Hanging], came/(0.9*s.Capacity),
			tries/(0.9*s.Capacity), mean, least, broken)
	}
	return nil
}

func drawStorm(out io.Writer, offered []float64, all []Storm) error {
	p := plot.New()
	p.Title.Text = "goodput against offered load: 100 emulated servers, 300 proxies, 2 coordinators, virtual time"
	p.X.Label.Text, p.Y.Label.Text = "offered by clients that ask for the first time, of capacity", "answered within the soft deadline, of capacity"
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, 3.1, 0, 1.1
	p.Legend.Top, p.Legend.XOffs, p.Legend.Padding = true, vg.Points(-8), vg.Points(2)
	p.Add(plotter.NewGrid())
	n := len(offered)
	for k, x := range []struct {
		name string
		c    color.RGBA
	}{
		{"levels, clients come again", color.RGBA{46, 125, 50, 255}},
		{"no levels, clients come again", color.RGBA{198, 40, 40, 255}},
		{"levels, nobody comes again", color.RGBA{21, 101, 192, 255}},
	} {
		xy := make(plotter.XYs, n)
		for i := range xy {
			xy[i].X, xy[i].Y = offered[i], all[k*n+i].Good/all[k*n+i].Capacity
		}
		l, s, err := plotter.NewLinePoints(xy)
		if err != nil {
			return err
		}
		l.Color, l.Width, s.Color, s.Shape = x.c, vg.Points(1.5), x.c, draw.CircleGlyph{}
		p.Add(l, s)
		p.Legend.Add(x.name, l, s)
	}
	img := vgimg.New(9*vg.Inch, 5*vg.Inch)
	p.Draw(draw.New(img))
	_, err := vgimg.PngCanvas{Canvas: img}.WriteTo(out)
	return err
}
