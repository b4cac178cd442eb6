package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/adapter/operatorhttp"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// writeOutput writes value as JSON if --output is json, and otherwise calls writeText with a tabwriter.
func writeOutput(c *cli.Command, value any, writeText func(w io.Writer)) error {
	out := c.Root().Writer
	if c.String(flagOutput) == outputJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	writeText(w)
	return w.Flush()
}

// printMessage writes a message that is not part of the output to standard error.
func printMessage(c *cli.Command, format string, args ...any) {
	_, _ = fmt.Fprintf(c.Root().ErrWriter, format+"\n", args...)
}

// writeLine writes a line of cells for a tabwriter.
func writeLine(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// writeChanges writes one line for each added or removed row and for each changed cell.
func writeChanges(w io.Writer, changes []operatorhttp.Change) {
	for _, change := range changes {
		switch {
		case change.Before == nil:
			writeLine(w, "+ "+change.Name, rowText(change.After))
		case change.After == nil:
			writeLine(w, "- "+change.Name, rowText(change.Before))
		default:
			for _, column := range change.Columns {
				writeLine(w, "~ "+change.Name, string(column)+": "+cellText(change.Before, column)+" -> "+cellText(change.After, column))
			}
		}
	}
}

func cellText(r *operatorhttp.Row, name table.ColumnName) string {
	column, _ := table.FindColumn(name)
	return strings.TrimSpace(column.Text(table.Row(*r)) + " " + column.Unit)
}

// rowText lists the cells of a row that differ from the defaults.
func rowText(r *operatorhttp.Row) string {
	var cells []string
	for _, column := range table.Columns() {
		text := column.Text(table.Row(*r))
		if column.Name != table.ColName && text != column.Default {
			cells = append(cells, string(column.Name)+"="+text)
		}
	}
	return strings.Join(cells, " ")
}

func writeWarnings(c *cli.Command, warnings []operatorhttp.Warning) {
	for _, w := range warnings {
		cell := slices.DeleteFunc([]string{w.Name, string(w.Column)}, func(s string) bool { return s == "" })
		printMessage(c, "warning: %s: %s", strings.Join(cell, " "), w.Message)
	}
}

func timeText(t *time.Time) string {
	if t == nil {
		return "never"
	}
	return t.UTC().Format(time.RFC3339)
}
