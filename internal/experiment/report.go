package experiment

import (
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Row is what a measure shows of an arm.
type Row struct {
	Arm                Arm
	Measure            string
	Mean               Estimate
	Difference         Estimate // paired with the first arm, seed by seed
	Verdict            string
	SeedsNeeded        int // seeds it would take to tell
	RunsWithViolations int // runs in which a rule broke
}

// Rows reckons a plan's runs, arm by arm, each measure of it.
func (p *Plan) Rows(runs []Run) (rows []Row) {
	by := map[string]map[uint64]Run{}
	for _, r := range runs {
		k := key(r.Arm, 0)
		if by[k] == nil {
			by[k] = map[uint64]Run{}
		}
		by[k][r.Seed] = r
	}
	arms := p.Arms()
	first := by[key(arms[0], 0)]
	for i, a := range arms {
		own := by[key(a, 0)]
		for _, m := range p.Measures {
			row := Row{Arm: a, Measure: m}
			var is, diff []float64
			for s := range p.Seeds {
				r, there := own[p.First+uint64(s)]
				if !there {
					continue
				}
				is = append(is, r.Figures[m])
				if len(r.Broken) > 0 {
					row.RunsWithViolations++
				}
				if base, there := first[r.Seed]; there && i > 0 {
					diff = append(diff, r.Figures[m]-base.Figures[m])
				}
			}
			row.Mean = Bootstrap(is)
			if i > 0 {
				row.Difference = Bootstrap(diff)
				row.Verdict, row.SeedsNeeded = Verdict(row.Difference, measures[m].sign)
			}
			rows = append(rows, row)
		}
	}
	return rows
}

// CSV writes a line for each run, in the plan's order.
func (p *Plan) CSV(out io.Writer, runs []Run) {
	head := make([]string, 0, len(p.Factors)+1)
	for _, f := range p.Factors {
		head = append(head, f.Name)
	}
	fmt.Fprintf(out, "plan,commit,%s\n", strings.Join(append(append(head, "seed"), append(slices.Clone(p.Measures), "broken")...), ","))
	quote := func(s string) string {
		if strings.ContainsAny(s, ",\"\n") {
			return `"` + strings.ReplaceAll(s, `"`, `""`) + `"`
		}
		return s
	}
	for _, r := range runs {
		cells := make([]string, 0, len(r.Arm)+len(p.Measures)+4) // plan, commit, seed and broken beside these
		cells = append(cells, r.Plan, quote(r.Commit))
		for _, v := range r.Arm {
			cells = append(cells, quote(v))
		}
		cells = append(cells, strconv.FormatUint(r.Seed, 10))
		for _, m := range p.Measures {
			cells = append(cells, strconv.FormatFloat(r.Figures[m], 'g', -1, 64))
		}
		broken := make([]string, 0, len(r.Broken))
		for _, b := range r.Broken {
			broken = append(broken, strconv.Itoa(b))
		}
		fmt.Fprintln(out, strings.Join(append(cells, strings.Join(broken, " ")), ","))
	}
}

func short(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }

// Page writes the report: tables and, beside them, a plot for each measure.
func (p *Plan) Page(out io.Writer, runs []Run, plots []string) {
	fmt.Fprintf(out, "# %s\n\nDay %s, %d arms, %d seeds from %d, %d runs; plan %s. Figures are of simulated servers.\n", p.Name, p.Day, len(p.Arms()), p.Seeds, p.First, len(runs), p.Hash())
	rows := p.Rows(runs)
	for i, m := range p.Measures {
		unit := ""
		if measures[m].unit != "" {
			unit = ", " + measures[m].unit
		}
		fmt.Fprintf(out, "\n## %s%s\n\n", m, unit)
		if i < len(plots) {
			fmt.Fprintf(out, "![%s](%s)\n\n", m, plots[i])
		}
		fmt.Fprint(out, "| arm | mean | 95% interval | beside the first, paired | 95% interval | verdict | runs with a rule broken |\n| --- | --- | --- | --- | --- | --- | --- |\n")
		for _, r := range rows {
			if r.Measure != m {
				continue
			}
			verdict, diff, span := "", "", ""
			if r.Verdict != "" {
				diff, span, verdict = fmt.Sprintf("%+.4g", r.Difference.Mean), fmt.Sprintf("%+.4g to %+.4g", r.Difference.Low, r.Difference.High), r.Verdict
				if r.SeedsNeeded > 0 {
					verdict += fmt.Sprintf("; about %d seeds would", r.SeedsNeeded)
				}
			}
			fmt.Fprintf(out, "| %s | %s | %s to %s | %s | %s | %s | %d |\n", p.ArmTitle(r.Arm), short(r.Mean.Mean), short(r.Mean.Low), short(r.Mean.High), diff, span, verdict, r.RunsWithViolations)
		}
	}
	fmt.Fprintf(out, "\n## The plan\n\n```\n%s\n```\n", strings.TrimSpace(p.Text))
}

// Plot draws a measure: along the last factor, a line for each choice of the others, with each run as a dot and the
// interval of the mean as a bar.
func (p *Plan) Plot(file, m string, runs []Run) error {
	pl := plot.New()
	pl.Title.Text, pl.Y.Label.Text = p.Name+": "+m, strings.TrimSpace(m+" "+measures[m].unit)
	pl.Add(plotter.NewGrid())
	last := len(p.Factors) - 1
	place := map[string]float64{}
	if last >= 0 {
		pl.X.Label.Text = p.Factors[last].Name
		numbers := true
		for i, v := range p.Factors[last].Values {
			x, err := strconv.ParseFloat(strings.TrimRight(v, "%smx"), 64)
			numbers = numbers && err == nil
			if place[v] = x; !numbers {
				place[v] = float64(i)
			}
		}
		if !numbers {
			for i, v := range p.Factors[last].Values {
				place[v] = float64(i)
			}
			pl.NominalX(p.Factors[last].Values...)
		}
	}
	at := func(a Arm) float64 {
		if last < 0 {
			return 0
		}
		return place[a[last]]
	}
	series := map[string]int{}
	lines := []plotter.XYs{}
	bars := []plotter.YErrors{}
	names := []string{}
	of := func(a Arm) int {
		words := make([]string, 0, max(last, 0))
		for i := range max(last, 0) {
			words = append(words, p.Factors[i].Name+"="+a[i])
		}
		k := strings.Join(words, " ")
		n, known := series[k]
		if !known {
			n = len(lines)
			series[k] = n
			lines, bars, names = append(lines, nil), append(bars, nil), append(names, k)
		}
		return n
	}
	for _, r := range p.Rows(runs) {
		if r.Measure == m && r.Mean.Count > 0 {
			n := of(r.Arm)
			lines[n] = append(lines[n], plotter.XY{X: at(r.Arm), Y: r.Mean.Mean})
			low, top := r.Mean.Mean-r.Mean.Low, r.Mean.High-r.Mean.Mean
			if math.IsInf(low, 0) || math.IsInf(top, 0) {
				low, top = 0, 0
			}
			bars[n] = append(bars[n], struct{ Low, High float64 }{low, top})
		}
	}
	dots := make([]plotter.XYs, len(lines))
	for _, r := range runs {
		dots[of(r.Arm)] = append(dots[of(r.Arm)], plotter.XY{X: at(r.Arm), Y: r.Figures[m]})
	}
	for n := range lines {
		line, points, err := plotter.NewLinePoints(lines[n])
		if err != nil {
			return fmt.Errorf("plot %s: %w", m, err)
		}
		line.Color, points.Color, points.Shape = plotutil.Color(n), plotutil.Color(n), draw.CircleGlyph{}
		errs, err := plotter.NewYErrorBars(struct {
			plotter.XYs
			plotter.YErrors
		}{lines[n], bars[n]})
		if err != nil {
			return fmt.Errorf("plot %s: %w", m, err)
		}
		errs.Color = plotutil.Color(n)
		each, err := plotter.NewScatter(dots[n])
		if err != nil {
			return fmt.Errorf("plot %s: %w", m, err)
		}
		each.Color, each.Radius, each.Shape = plotutil.Color(n), vg.Points(1), draw.CircleGlyph{}
		pl.Add(each, line, points, errs)
		if names[n] != "" {
			pl.Legend.Add(names[n], line)
		}
	}
	pl.Legend.Top, pl.Legend.Left = true, true
	pl.Y.Max += 0.07 * float64(len(names)) * (pl.Y.Max - pl.Y.Min) // room for the legend
	return pl.Save(16*vg.Centimeter, 10*vg.Centimeter, file)
}

// Write writes runs.csv, report.md and the plots into a folder. The same runs give the same files.
func (p *Plan) WriteReport(dir string, runs []Run) error {
	var plots []string
	for _, m := range p.Measures {
		name := m + ".png"
		if err := p.Plot(filepath.Join(dir, name), m, runs); err != nil {
			return err
		}
		plots = append(plots, name)
	}
	var csv, page strings.Builder
	p.CSV(&csv, runs)
	p.Page(&page, runs, plots)
	for name, text := range map[string]string{"runs.csv": csv.String(), "report.md": page.String()} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			return fmt.Errorf("write the results: %w", err)
		}
	}
	return nil
}
