package tablecsv

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/bulrushrelay/bulrushrelay/core/table"
)

const (
	// MaxBytes bounds the size of the input. A full table of 2000 rows takes about 0.4 MB.
	MaxBytes = 2 << 20
	// MaxCellBytes bounds the size of one cell.
	MaxCellBytes = 4 << 10
	// maxFaults bounds the number of reported faults, so that a wrong file does not produce a report of megabytes.
	maxFaults = 1000
)

// Fault is one reason why the input is rejected, with its place in the file.
type Fault struct {
	// Line is the line of the file, counted from 1, or 0 if the fault concerns the whole file.
	Line int `json:"line"`
	// Column is the column of the table, or empty if the fault concerns the whole line.
	Column  table.ColumnName `json:"column,omitempty"`
	Message string           `json:"message"`
}

// String returns the message with its line and column.
func (f Fault) String() string {
	switch {
	case f.Line == 0:
		return f.Message
	case f.Column == "":
		return fmt.Sprintf("line %d: %s", f.Line, f.Message)
	default:
		return fmt.Sprintf("line %d, column %s: %s", f.Line, f.Column, f.Message)
	}
}

// Faults is the error that lists the faults of the input.
type Faults []Fault

// Error returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Decode reads and validates the rows of a table. The error is of type Faults, ordered by line and limited to 1000,
// unless reading from r fails. The columns may be in any order; an absent column has its default unless it is required.
func Decode(r io.Reader) ([]table.Row, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > MaxBytes {
		return nil, Faults{{Message: fmt.Sprintf("the file is larger than %d bytes", MaxBytes)}}
	}
	if !utf8.Valid(data) {
		return nil, Faults{{Message: "the file is not UTF-8; save it as \"CSV UTF-8\""}}
	}
	d := decoder{}
	d.readRecords(bytes.TrimPrefix(data, []byte("\ufeff")))
	if len(d.faults) > 0 {
		slices.SortStableFunc(d.faults, func(a, b Fault) int { return a.Line - b.Line })
		return nil, d.faults[:min(len(d.faults), maxFaults)]
	}
	return d.rows, nil
}

type decoder struct {
	// header holds the column at each cell position; its name is empty if the position has no column.
	header []table.Column
	rows   []table.Row
	// rowLines holds the line in the file of each row.
	rowLines []int
	// unreadable holds the columns with a fault, by line. Validation does not report them again.
	unreadable map[int]map[table.ColumnName]bool
	faults     Faults
}

func (d *decoder) addFault(line int, column table.ColumnName, format string, args ...any) {
	d.faults = append(d.faults, Fault{Line: line, Column: column, Message: fmt.Sprintf(format, args...)})
	if d.unreadable[line] == nil {
		d.unreadable[line] = make(map[table.ColumnName]bool)
	}
	d.unreadable[line][column] = true
}

func (d *decoder) readRecords(data []byte) {
	d.unreadable = make(map[int]map[table.ColumnName]bool)
	reader := csv.NewReader(bytes.NewReader(data))
	reader.FieldsPerRecord = -1
	reader.Comma = detectSeparator(data)
	for len(d.faults) <= maxFaults {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var parseErr *csv.ParseError
		if errors.As(err, &parseErr) {
			d.addFault(parseErr.Line, "", "%s", parseErr.Err)
			// After a quoting error, the boundaries of the following records are not reliable.
			return
		}
		line, _ := reader.FieldPos(0)
		switch {
		case isBlank(record):
		case d.header == nil:
			if !d.readHeader(line, record) {
				return
			}
		case len(d.rows) == table.MaxRows:
			d.addFault(line, "", "more than %d rows", table.MaxRows)
			return
		default:
			d.readRow(line, record)
		}
	}
	if d.header == nil {
		d.faults = append(d.faults, Fault{Message: "the file has no header line"})
		return
	}
	d.validate()
}

// detectSeparator returns the cell separator that the header line uses. Spreadsheets in languages with a decimal comma
// write semicolons, and cells copied from a spreadsheet are separated by tabs.
func detectSeparator(data []byte) rune {
	header, _, _ := bytes.Cut(bytes.TrimLeft(data, "\r\n"), []byte("\n"))
	for _, sep := range []byte{',', ';', '\t'} {
		if bytes.IndexByte(header, sep) >= 0 {
			return rune(sep)
		}
	}
	return ','
}

func isBlank(record []string) bool {
	return !slices.ContainsFunc(record, func(cell string) bool { return strings.TrimSpace(cell) != "" })
}

// readHeader sets the columns from the header line. It reports whether the line has no faults.
func (d *decoder) readHeader(line int, record []string) bool {
	seen := make(map[table.ColumnName]bool)
	d.header = make([]table.Column, len(record))
	for i, cell := range record {
		if strings.TrimSpace(cell) == "" {
			continue
		}
		c, err := findHeaderColumn(cell)
		if err != nil {
			d.addFault(line, "", "%s", err)
			continue
		}
		if seen[c.Name] {
			d.addFault(line, c.Name, "the column appears twice")
		}
		seen[c.Name] = true
		d.header[i] = c
	}
	for _, c := range table.Columns() {
		if c.Required && !seen[c.Name] {
			d.addFault(line, c.Name, "the column is missing")
		}
	}
	return len(d.faults) == 0
}

// findHeaderColumn returns the column that a header cell names. The unit may be missing, but a unit other than that of
// the column is an error, because the numbers below it would be misread.
func findHeaderColumn(cell string) (table.Column, error) {
	name, unit, hasUnit := strings.Cut(strings.TrimSpace(cell), "(")
	c, found := table.FindColumn(table.ColumnName(strings.ToLower(strings.TrimSpace(name))))
	if !found {
		return c, fmt.Errorf("unknown column %.80q", cell)
	}
	unit = strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(unit), ")"))
	if hasUnit && unit != c.Unit {
		return c, fmt.Errorf("column %s is in %q, not in %.80q", c.Name, c.Unit, unit)
	}
	return c, nil
}

func (d *decoder) readRow(line int, record []string) {
	var r table.Row
	hasCell := make(map[table.ColumnName]bool)
	for i, cell := range record {
		if i >= len(d.header) || d.header[i].Name == "" {
			if strings.TrimSpace(cell) != "" {
				d.addFault(line, "", "cell %d has a value but no column name above it", i+1)
			}
			continue
		}
		c := d.header[i]
		hasCell[c.Name] = true
		if len(cell) > MaxCellBytes {
			d.addFault(line, c.Name, "the cell is larger than %d bytes", MaxCellBytes)
			continue
		}
		if err := c.Set(&r, cell); err != nil {
			d.addFault(line, c.Name, "%s", err)
		}
	}
	for _, c := range table.Columns() {
		if hasCell[c.Name] {
			continue
		}
		if err := c.Set(&r, ""); err != nil {
			d.addFault(line, c.Name, "%s", err)
		}
	}
	d.rows = append(d.rows, r)
	d.rowLines = append(d.rowLines, line)
}

// validate adds the faults that table.Validate finds. It skips cells that could not be read, whose rows are validated
// with the field unset, and rows whose kind could not be read.
func (d *decoder) validate() {
	for _, f := range table.Validate(d.rows) {
		if f.Row == 0 {
			d.faults = append(d.faults, Fault{Message: f.Message})
			continue
		}
		line := d.rowLines[f.Row-1]
		if d.unreadable[line][f.Column] || d.unreadable[line][table.ColKind] {
			continue
		}
		d.faults = append(d.faults, Fault{Line: line, Column: f.Column, Message: f.Message})
	}
}
