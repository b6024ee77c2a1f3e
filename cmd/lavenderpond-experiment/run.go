package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"

	"github.com/pkg/errors"

	"lavenderpond/core/experiment"
	_ "lavenderpond/core/experiment/maintenance" // registers its experiments
	_ "lavenderpond/core/experiment/policy"      // registers its experiments
)

// output is the writer to which results are printed. Kong passes it to the commands.
type output io.Writer

// List is the command that lists the experiments.
type List struct{}

// Run implements the command.
func (List) Run(w output) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, e := range experiment.All() {
		_, _ = fmt.Fprintf(tw, "%s\t%s\n", e.Name(), e.Help())
	}
	return errors.Wrap(tw.Flush(), "print experiments")
}

// Run is the command that runs an experiment.
type Run struct {
	Name      string `arg:"" help:"The experiment, as shown by list."`
	Seeds     uint64 `default:"20" help:"How many seeds to run."`
	FirstSeed uint64 `default:"1" help:"The first seed; the others follow it."`
	Workload  string `help:"Run this workload only."`
	Output    string `enum:"table,json,rows" default:"table" help:"table or json print the summary, rows each figure as a JSON line."`
}

// Run implements the command.
func (r Run) Run(w output) error {
	e, err := experiment.Get(r.Name)
	if err != nil {
		return err
	}
	if filter, ok := e.(experiment.WorkloadFilter); ok && r.Workload != "" {
		e = filter.FilterWorkload(r.Workload)
	}
	var rows []experiment.Row
	for seed := r.FirstSeed; seed < r.FirstSeed+r.Seeds; seed++ {
		for _, row := range e.Run(seed) {
			if r.Workload == "" || row.Workload == r.Workload {
				rows = append(rows, row)
			}
		}
	}
	return r.print(w, rows)
}

func (r Run) print(w io.Writer, rows []experiment.Row) error {
	enc := json.NewEncoder(w)
	switch r.Output {
	case "rows":
		for _, row := range rows {
			if err := enc.Encode(row); err != nil {
				return errors.Wrap(err, "print rows")
			}
		}
		return nil
	case "json":
		enc.SetIndent("", "  ")
		return errors.Wrap(enc.Encode(experiment.Summarize(rows)), "print summary")
	}
	return printTable(w, experiment.Summarize(rows))
}

func printTable(w io.Writer, summaries []experiment.Summary) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "workload\tmeasure\tvariant\tseeds\tmean\tp5\tp95\tratio\tratio_p5\tratio_p95")
	for _, s := range summaries {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%s\t%s\n", s.Workload, s.Measure, s.Variant, s.Seeds,
			statsColumns(&s.Value), statsColumns(s.Ratio))
	}
	return errors.Wrap(tw.Flush(), "print summary")
}

// statsColumns formats s as three columns separated by tabs, each "-" if s is nil.
func statsColumns(s *experiment.Stats) string {
	if s == nil {
		return "-\t-\t-"
	}
	return formatValue(s.Mean) + "\t" + formatValue(s.P5) + "\t" + formatValue(s.P95)
}

func formatValue(v float64) string { return strconv.FormatFloat(v, 'g', 3, 64) }
