package table

import (
	"fmt"
	"strings"
)

// Fault is one reason why a table cannot be accepted.
type Fault struct {
	// Row is the position of the row in the input, from 1; 0 if the fault concerns the whole table.
	Row int
	// Name is the name of the row as given; it may be blank.
	Name string
	// Column is empty if the fault concerns the whole row or table.
	Column  ColumnName
	Message string
}

// String returns the message with the row and column.
func (f Fault) String() string {
	switch {
	case f.Row == 0:
		return "table: " + f.Message
	case f.Column == "":
		return fmt.Sprintf("row %d (%s): %s", f.Row, truncate(f.Name), f.Message)
	default:
		return fmt.Sprintf("row %d (%s), column %s: %s", f.Row, truncate(f.Name), f.Column, f.Message)
	}
}

// Faults is the error that lists every fault of the input.
type Faults []Fault

// Error returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error; nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Validate returns every fault of the rows, in the order of the rows and columns.
func Validate(rows []Row) Faults {
	var faults Faults
	if len(rows) > MaxRows {
		return Faults{{Message: fmt.Sprintf("%d rows; at most %d are allowed", len(rows), MaxRows)}}
	}
	seen := make(map[string]bool, len(rows))
	for i, r := range rows {
		faults = append(faults, validateRow(i+1, r)...)
		// Names are compared without letter case, because readers confuse two names that differ only in case.
		key := strings.ToLower(string(r.Name))
		if seen[key] && key != "" {
			faults = append(faults, Fault{
				Row: i + 1, Name: string(r.Name), Column: ColName,
				Message: fmt.Sprintf("%q is the name of an earlier row; letter case does not count", r.Name),
			})
			continue
		}
		seen[key] = true
	}
	return faults
}

func validateRow(position int, r Row) Faults {
	var faults Faults
	add := func(c ColumnName, err error) {
		if err != nil {
			faults = append(faults, Fault{Row: position, Name: string(r.Name), Column: c, Message: err.Error()})
		}
	}
	for _, c := range columns {
		if c.Numeric() {
			add(c.Name, c.checkNumber(c.get(r)))
		} else {
			add(c.Name, c.checkText(c.getText(r)))
		}
	}
	if r.Kind == LatencyCritical && r.Deadline == 0 {
		add(ColDeadline, fmt.Errorf("is 0; a latency-critical class needs a deadline"))
	}
	return faults
}
