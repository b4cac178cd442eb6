package table

import (
	"fmt"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Explanation describes one value of a table.
type Explanation struct {
	Row    ident.ClassName
	Column Column
	Value  string
	// CurrentEffect describes the effect of the value in this table.
	CurrentEffect string
}

// Explain describes the value of a row in a column. cells is the number of scheduler cells over which limits are
// divided; 0 if it is not known.
func Explain(t *Table, name ident.ClassName, column ColumnName, cells int) (Explanation, error) {
	r, found := t.Lookup(name)
	if !found {
		return Explanation{}, fmt.Errorf("revision %d has no row %q", t.revision, name)
	}
	c, found := FindColumn(column)
	if !found {
		return Explanation{}, fmt.Errorf("the table has no column %q", column)
	}
	return Explanation{Row: name, Column: c, Value: c.Text(r), CurrentEffect: currentEffect(t, r, c, cells)}, nil
}

func currentEffect(t *Table, r Row, c Column, cells int) string {
	switch c.Name {
	case ColWeight:
		_, total := TenantWeights(t.rows)
		return fmt.Sprintf("When every class has work waiting, %s gets %d of %d parts (%.1f %%).",
			r.Name, r.Weight, total, 100*float64(r.Weight)/float64(max(total, 1)))
	case ColTenant:
		sums, total := TenantWeights(t.rows)
		return fmt.Sprintf("Tenant %s has a weight of %d of %d in all its classes.", r.Tenant, sums[r.Tenant], total)
	case ColRate, ColConcurrency, ColProcessors, ColMemory, ColAccelerators:
		return limitEffect(c, c.get(r), cells)
	case ColDeadline:
		if r.Deadline == 0 {
			return "The class has no deadline."
		}
		return fmt.Sprintf("Work that cannot be served within %s is refused as not run.", r.Deadline)
	default:
		return c.Effect
	}
}

func limitEffect(c Column, v float64, cells int) string {
	if v == 0 {
		return "The class is not limited here."
	}
	if cells <= 0 {
		return fmt.Sprintf("The limit is %s %s for the whole fleet.", formatNumber(v), c.Unit)
	}
	return fmt.Sprintf("The limit is %s %s for the whole fleet: %.4g for each of %d cells, plus what cells lend each other.",
		formatNumber(v), c.Unit, v/float64(cells), cells)
}
