package experiment

import (
	"bytes"
	_ "embed"
	"encoding/csv"
	"fmt"
	"html/template"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

//go:embed report.html.tmpl
var reportTemplate string

var rowColumns = []string{
	"arm", "class", "rate_per_s", "repetitions", "duration_s", "p50_ms", "p99_ms", "p99.9_ms", "sent", "answered",
	"not_run", "unknown", "skipped", "no_answer", "retries", "tasks_per_s", "evictions", "part_of_capacity",
}

func (r Row) fields() []string {
	formatInt := func(v int64) string { return strconv.FormatInt(v, 10) }
	formatFloat := func(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }
	return []string{
		r.Arm, r.Class, formatFloat(r.Rate, 1), strconv.Itoa(r.Repetition), formatFloat(r.Duration.Seconds(), 1),
		formatFloat(r.LatencyMilliseconds(50), 2), formatFloat(r.LatencyMilliseconds(99), 2), formatFloat(r.LatencyMilliseconds(99.9), 2),
		formatInt(r.Sent), formatInt(r.Answered), formatInt(r.NotRun), formatInt(r.Unknown), formatInt(r.Skipped), formatInt(r.NoAnswer), formatInt(r.Retries),
		formatFloat(float64(r.TasksDone)/r.Duration.Seconds(), 2), formatInt(r.Evictions), formatFloat(r.CapacityShare, 4),
	}
}

func (f Figure) fields() []string {
	repetition := "all"
	if f.Repetition > 0 {
		repetition = strconv.Itoa(f.Repetition)
	}
	return []string{f.Arm, repetition, f.Name, strconv.FormatFloat(f.Value, 'f', 3, 64), f.Unit}
}

// Print writes the tables of the result as text.
func (r *Result) Print(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeLine := func(values []string) {
		for _, c := range values {
			_, _ = fmt.Fprintf(out, "%s\t", c)
		}
		_, _ = fmt.Fprintln(out)
	}
	_, _ = fmt.Fprintf(out, "\n%s (seed %d, %.0f s): %s\n", r.Name, r.Seed, r.Elapsed.Seconds(), r.Question)
	if len(r.Rows) > 0 {
		writeLine(rowColumns)
	}
	for _, row := range r.MergeRepetitions() {
		writeLine(row.fields())
	}
	// Flushing gives the figures column widths of their own.
	_ = out.Flush()
	for _, f := range r.Figures {
		writeLine(f.fields())
	}
	for _, n := range r.Notes {
		_, _ = fmt.Fprintln(out, "note:", n)
	}
	_, _ = fmt.Fprintf(out, "history: %d events, %d violations\n", r.Events, len(r.Violations))
	for _, v := range r.Violations {
		_, _ = fmt.Fprintln(out, v)
	}
	return out.Flush()
}

// Write writes <name>.csv, with a row for each repetition, <name>-figures.csv and <name>.html to dir, which it creates
// if needed.
func (r *Result) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	rows := [][]string{slices.Clone(rowColumns)}
	rows[0][slices.Index(rowColumns, "repetitions")] = "repetition"
	for _, row := range r.Rows {
		rows = append(rows, row.fields())
	}
	if err := writeCSV(filepath.Join(dir, r.Name+".csv"), rows); err != nil {
		return err
	}
	figures := [][]string{{"arm", "repetition", "name", "value", "unit"}}
	for _, f := range r.Figures {
		figures = append(figures, f.fields())
	}
	if err := writeCSV(filepath.Join(dir, r.Name+"-figures.csv"), figures); err != nil {
		return err
	}
	page, err := r.HTML()
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, r.Name+".html"), page, 0o600)
}

func writeCSV(name string, rows [][]string) error {
	var b bytes.Buffer
	if err := csv.NewWriter(&b).WriteAll(rows); err != nil {
		return err
	}
	return os.WriteFile(name, b.Bytes(), 0o600)
}

// HTML returns the report as a self-contained page.
func (r *Result) HTML() ([]byte, error) {
	tmpl, err := template.New("report").Parse(reportTemplate)
	if err != nil {
		return nil, err
	}
	data := struct {
		*Result
		Columns                 []string
		RowFields, FigureFields [][]string
		Charts                  []template.HTML
	}{Result: r, Columns: rowColumns}
	for _, row := range r.MergeRepetitions() {
		data.RowFields = append(data.RowFields, row.fields())
	}
	for _, f := range r.Figures {
		data.FigureFields = append(data.FigureFields, f.fields())
	}
	for _, p := range r.Plots {
		svg, err := p.svg()
		if err != nil {
			return nil, fmt.Errorf("plot %q: %w", p.Title, err)
		}
		data.Charts = append(data.Charts, svg)
	}
	var b bytes.Buffer
	if err := tmpl.Execute(&b, data); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// svg renders the plot. The plot package escapes the text in it.
func (p Plot) svg() (template.HTML, error) {
	chart := plot.New()
	chart.Title.Text = p.Title
	chart.X.Label.Text = p.XLabel
	chart.Y.Label.Text = p.YLabel
	chart.Y.Min = 0
	chart.Legend.Top = true
	var namesAndPoints []any
	for _, s := range p.Series {
		points := make(plotter.XYs, len(s.Points))
		for i, point := range s.Points {
			points[i] = plotter.XY{X: point.X, Y: point.Y}
		}
		namesAndPoints = append(namesAndPoints, s.Name, points)
	}
	if err := plotutil.AddLinePoints(chart, namesAndPoints...); err != nil {
		return "", err
	}
	writer, err := chart.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := writer.WriteTo(&b); err != nil {
		return "", err
	}
	// The XML declaration and the document type are not allowed inside an HTML page.
	svg := b.Bytes()
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:]
	}
	return template.HTML(svg), nil
}
