package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"gingerfork/internal/report"
	"gingerfork/internal/scenario"
	"gingerfork/internal/trace"
)

// traceBufferSize is the number of buffered bytes of a trace above which writeRecords writes them to the trace's file.
const traceBufferSize = 1 << 16

// plot draws the plot of a report to a PNG file.
func plot(file, title string, figures *report.Report) error {
	if err := writeFile(file, func(w io.Writer) error { return figures.WritePNG(w, title) }); err != nil {
		return fmt.Errorf("draw the plot: %w", err)
	}
	return nil
}

// writeTrace writes a trace to a file, one record per line.
func writeTrace(file string, records []trace.Record) error {
	if err := writeFile(file, func(w io.Writer) error { return writeRecords(w, records) }); err != nil {
		return fmt.Errorf("write the trace: %w", err)
	}
	return nil
}

// writeRecords writes records in blocks of about traceBufferSize bytes.
func writeRecords(w io.Writer, records []trace.Record) error {
	var buffer []byte
	for _, record := range records {
		buffer = record.Append(buffer)
		if len(buffer) <= traceBufferSize {
			continue
		}
		if _, err := w.Write(buffer); err != nil {
			return err
		}
		buffer = buffer[:0]
	}
	_, err := w.Write(buffer)
	return err
}

// printResult prints the result of a scenario as text for people.
func printResult(out io.Writer, result *scenario.Result, virtual bool) {
	where := "on sockets"
	if virtual {
		where = "in virtual time"
	}
	fmt.Fprintf(out, "\nscenario %s, seed %d, %s: %.1f s, %d faults\n\n", result.Scenario.Name, result.Scenario.Seed, where, result.Report.Duration, result.Report.Faults)
	printRules(out, result)
	service := result.Report.Service
	fmt.Fprintf(out, "\nservice %.3f (share of the RPCs answered within the soft deadline, weighted by criticality)\n", service.Share())
	fmt.Fprintf(out, "RPCs %d: ok %d (%d of them late), pushed back %d, aborted %d, unfinished %d\n", service.RPCs, service.OK, service.Late, service.Rejected,
		service.Aborted, service.Unfinished)
	fmt.Fprintf(out, "attempts %d, pushes to proxies %d with %d entries, collapses of cold backends %d\n", result.Report.Attempts, result.Report.Pushes, result.Report.Entries,
		result.Report.Collapses)
	for _, failure := range result.Failures {
		fmt.Fprintf(out, "state machine failed: %s\n", failure)
	}
}

// printRules prints a table of the invariants, and the first violation of each.
func printRules(out io.Writer, result *scenario.Result) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "rule\t\tresult\tclosest to its limit\t")
	for _, rule := range result.Report.Rules {
		verdict := "kept"
		if rule.Violations > 0 {
			verdict = fmt.Sprintf("VIOLATED %d times", rule.Violations)
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%.0f%% at %.1f s  %s\n", rule.Rule, rule.Name, verdict, 100*rule.ClosestShare, rule.ClosestTime, rule.ClosestNote)
	}
	_ = table.Flush() // ignored as for fmt.Fprint: if the reader closed the pipe, it would not see the error either
	for _, rule := range result.Report.Rules {
		if rule.Violations > 0 {
			fmt.Fprintf(out, "\nrule %d was first violated at %.3f (record %d of the trace), %s: %s\n", rule.Rule, rule.FirstTime, rule.Record, rule.Party, rule.Reason)
		}
	}
}

// ruleJSON is the result of one invariant in the JSON output.
type ruleJSON struct {
	Rule        int     `json:"rule"`
	Name        string  `json:"name"`
	Violations  int     `json:"broken"`
	FirstTime   float64 `json:"at,omitempty"`
	Party       string  `json:"who,omitempty"`
	Record      int     `json:"record,omitempty"`
	Reason      string  `json:"why,omitempty"`
	Closest     float64 `json:"nearest"`
	ClosestTime float64 `json:"nearest_at"`
	ClosestNote string  `json:"note,omitempty"`
}

// printResultJSON prints the result of a scenario as one line of JSON.
func printResultJSON(out io.Writer, result *scenario.Result, figures *report.Report) error {
	rules := make([]ruleJSON, 0, len(result.Report.Rules))
	for _, rule := range result.Report.Rules {
		rules = append(rules, ruleJSON{
			Rule: rule.Rule, Name: rule.Name, Violations: rule.Violations, FirstTime: rule.FirstTime, Party: rule.Party, Record: rule.Record,
			Reason: rule.Reason, Closest: rule.ClosestShare, ClosestTime: rule.ClosestTime, ClosestNote: rule.ClosestNote,
		})
	}
	service := result.Report.Service
	err := json.NewEncoder(out).Encode(map[string]any{
		"day": result.Scenario.Name, "seed": result.Scenario.Seed, "length": result.Report.Duration, "rules": rules,
		"service": service.Share(), "rpcs": service.RPCs, "ok": service.OK, "late": service.Late, "pushed_back": service.Rejected, "aborted": service.Aborted,
		"tries": result.Report.Attempts, "messages": result.Report.Pushes, "lines": result.Report.Entries, "falls": result.Report.Collapses,
		"defects": result.Failures, "figures": figures,
	})
	if err != nil {
		return fmt.Errorf("print the result: %w", err)
	}
	return nil
}
