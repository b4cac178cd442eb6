// Package tablecsv reads and writes the operators' table as CSV, in the form that spreadsheets use.
//
// The first line names the columns with their units, such as "deadline (ms)". The columns of core/table define how
// cells are written and read.
package tablecsv

import (
	"encoding/csv"
	"io"

	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// Header returns the header cell of a column: its name, followed by its unit in parentheses if it has one.
func Header(c table.Column) string {
	if c.Unit == "" {
		return string(c.Name)
	}
	return string(c.Name) + " (" + c.Unit + ")"
}

// Encode writes a header line and the rows in the given order, with the columns in the order of table.Columns. Lines
// end with a line feed.
func Encode(w io.Writer, rows []table.Row) error {
	columns := table.Columns()
	out := csv.NewWriter(w)
	record := make([]string, len(columns))
	for i, c := range columns {
		record[i] = Header(c)
	}
	if err := out.Write(record); err != nil {
		return err
	}
	for _, r := range rows {
		for i, c := range columns {
			record[i] = c.Text(r)
		}
		if err := out.Write(record); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}
