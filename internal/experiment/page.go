package experiment

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Names of the files of a report. There is also a plot for each measure, named by the measure with plotSuffix.
const (
	csvName    = "runs.csv"
	pageName   = "report.md"
	plotSuffix = ".png"
)

// WriteReport writes the runs as CSV, the report page and the plots into a directory. The same runs always give the same files.
func (p *Plan) WriteReport(dir string, runs []Run) error {
	plots := make([]string, 0, len(p.Measures))
	for _, name := range p.Measures {
		plotName := name + plotSuffix
		if err := p.Plot(filepath.Join(dir, plotName), name, runs); err != nil {
			return err
		}
		plots = append(plots, plotName)
	}
	var csv, page strings.Builder
	p.WriteCSV(&csv, runs)
	p.WritePage(&page, runs, plots)
	for name, text := range map[string]string{csvName: csv.String(), pageName: page.String()} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			return fmt.Errorf("write the report: %w", err)
		}
	}
	return nil
}

// WriteCSV writes a header and a line for each run.
func (p *Plan) WriteCSV(out io.Writer, runs []Run) {
	columns := make([]string, 0, len(p.Factors)+len(p.Measures)+4) // 4 more: plan, commit, seed and broken
	columns = append(columns, "plan", "commit")
	for _, factor := range p.Factors {
		columns = append(columns, factor.Name)
	}
	columns = append(columns, "seed")
	columns = append(columns, p.Measures...)
	columns = append(columns, "broken")
	fmt.Fprintln(out, strings.Join(columns, ","))
	for _, run := range runs {
		fmt.Fprintln(out, strings.Join(p.csvCells(run), ","))
	}
}

// csvCells returns the cells of a run's line, in the order of the columns of the header.
func (p *Plan) csvCells(run Run) []string {
	cells := []string{run.Plan, quoteCSV(run.Commit)}
	for _, value := range run.Arm {
		cells = append(cells, quoteCSV(value))
	}
	cells = append(cells, strconv.FormatUint(run.Seed, 10))
	for _, name := range p.Measures {
		cells = append(cells, strconv.FormatFloat(run.Figures[name], 'g', -1, 64))
	}
	rules := make([]string, 0, len(run.ViolatedRules))
	for _, rule := range run.ViolatedRules {
		rules = append(rules, strconv.Itoa(rule))
	}
	return append(cells, strings.Join(rules, " "))
}

// quoteCSV quotes a cell if it contains a comma, a quote or a line break.
func quoteCSV(cell string) string {
	if !strings.ContainsAny(cell, ",\"\n") {
		return cell
	}
	return `"` + strings.ReplaceAll(cell, `"`, `""`) + `"`
}

// WritePage writes the report page in Markdown: a table for each measure and its plot, if there is one. plots has the file names of the
// plots in the order of the measures.
func (p *Plan) WritePage(out io.Writer, runs []Run, plots []string) {
	fmt.Fprintf(out, "# %s\n\nScenario %s, %d arms, %d seeds from %d, %d runs; plan %s. All values are from simulated backends.\n",
		p.Name, p.ScenarioName, len(p.Arms()), p.Seeds, p.FirstSeed, len(runs), p.Hash())
	rows := p.Rows(runs)
	for i, name := range p.Measures {
		unit := ""
		if measures[name].unit != "" {
			unit = ", " + measures[name].unit
		}
		fmt.Fprintf(out, "\n## %s%s\n\n", name, unit)
		if i < len(plots) {
			fmt.Fprintf(out, "![%s](%s)\n\n", name, plots[i])
		}
		fmt.Fprint(out, "| arm | mean | 95% interval | difference from the first arm, paired | 95% interval | verdict | runs with a rule violation |\n| --- | --- | --- | --- | --- | --- | --- |\n")
		for _, row := range rows {
			if row.Measure == name {
				p.writeRow(out, row)
			}
		}
	}
	fmt.Fprintf(out, "\n## The plan\n\n```\n%s\n```\n", strings.TrimSpace(p.Text))
}

// writeRow writes a table row. The row of the first arm has no difference and no verdict.
func (p *Plan) writeRow(out io.Writer, row Row) {
	verdict, difference, interval := "", "", ""
	if row.Verdict != "" {
		difference = fmt.Sprintf("%+.4g", row.Difference.Mean)
		interval = fmt.Sprintf("%+.4g to %+.4g", row.Difference.Low, row.Difference.High)
		verdict = row.Verdict
		if row.SeedsNeeded > 0 {
			verdict += fmt.Sprintf("; about %d seeds needed", row.SeedsNeeded)
		}
	}
	fmt.Fprintf(out, "| %s | %s | %s to %s | %s | %s | %s | %d |\n", p.ArmTitle(row.Arm), formatValue(row.Mean.Mean),
		formatValue(row.Mean.Low), formatValue(row.Mean.High), difference, interval, verdict, row.RunsWithViolations)
}

// formatValue formats a value with four significant digits.
func formatValue(value float64) string { return strconv.FormatFloat(value, 'g', 4, 64) }
