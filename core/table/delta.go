package table

import (
	"fmt"
	"slices"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Change is what happened to one row. Before is nil for an added row, After for a removed one.
type Change struct {
	Name   ident.ClassName
	Before *Row
	After  *Row
}

// Columns returns the columns that differ; none for an added or removed row.
func (c Change) Columns() []ColumnName {
	if c.Before == nil || c.After == nil {
		return nil
	}
	return differingColumns(*c.Before, *c.After)
}

// Delta is the difference between two tables, sorted by row name. It holds the rows before and after the change, so
// that it can be inverted and checked against the table to which it is applied.
type Delta []Change

// Inverse returns the delta that undoes d.
func (d Delta) Inverse() Delta {
	inverse := make(Delta, len(d))
	for i, c := range d {
		inverse[i] = Change{Name: c.Name, Before: c.After, After: c.Before}
	}
	return inverse
}

// Diff returns the changes that turn the rows of from into the rows of to.
func Diff(from, to *Table) Delta {
	var delta Delta
	i, j := 0, 0
	for i < len(from.rows) || j < len(to.rows) {
		switch {
		case j == len(to.rows) || i < len(from.rows) && from.rows[i].Name < to.rows[j].Name:
			delta = append(delta, Change{Name: from.rows[i].Name, Before: &from.rows[i]})
			i++
		case i == len(from.rows) || to.rows[j].Name < from.rows[i].Name:
			delta = append(delta, Change{Name: to.rows[j].Name, After: &to.rows[j]})
			j++
		default:
			if from.rows[i] != to.rows[j] {
				delta = append(delta, Change{Name: to.rows[j].Name, Before: &from.rows[i], After: &to.rows[j]})
			}
			i++
			j++
		}
	}
	return delta
}

// Apply returns the table with the given revision that results from applying d to t. It fails if a row of t differs
// from the row before the change in d.
func (t *Table) Apply(revision Revision, d Delta) (*Table, error) {
	rows := make([]Row, 0, len(t.rows)+len(d))
	i := 0
	for n, c := range d {
		if n > 0 && d[n-1].Name >= c.Name {
			return nil, fmt.Errorf("delta: row %q is out of order", c.Name)
		}
		for i < len(t.rows) && t.rows[i].Name < c.Name {
			rows = append(rows, t.rows[i])
			i++
		}
		present := i < len(t.rows) && t.rows[i].Name == c.Name
		if present != (c.Before != nil) || present && t.rows[i] != *c.Before {
			return nil, fmt.Errorf("delta: row %q of revision %d differs from the row before the change", c.Name, t.revision)
		}
		if present {
			i++
		}
		if c.After != nil {
			if c.After.Name != c.Name {
				return nil, fmt.Errorf("delta: row %q is renamed to %q", c.Name, c.After.Name)
			}
			rows = append(rows, *c.After)
		}
	}
	return &Table{revision: revision, rows: append(rows, t.rows[i:]...)}, nil
}

// differingColumns returns the columns in which a and b differ.
func differingColumns(a, b Row) []ColumnName {
	var names []ColumnName
	for _, c := range columns {
		if c.Text(a) != c.Text(b) {
			names = append(names, c.Name)
		}
	}
	return names
}

// rowOf returns the row of a class; nil if there is none.
func (t *Table) rowOf(name ident.ClassName) *Row {
	if r, found := t.Lookup(name); found {
		return &r
	}
	return nil
}

func sameRow(a, b *Row) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// rowNames returns the names of the changed rows, sorted.
func (d Delta) rowNames() []ident.ClassName {
	names := make([]ident.ClassName, len(d))
	for i, c := range d {
		names[i] = c.Name
	}
	return names
}

// unionRowNames returns the names of the rows changed in either delta, sorted.
func unionRowNames(a, b Delta) []ident.ClassName {
	names := append(a.rowNames(), b.rowNames()...)
	slices.Sort(names)
	return slices.Compact(names)
}
