package table

import (
	"slices"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Conflict is a row that two operators changed differently. A nil row is absent from that table.
type Conflict struct {
	Name               ident.ClassName
	Base, Mine, Theirs *Row
}

// Columns returns the columns that differ between mine and theirs; none if one of them removed the row.
func (c Conflict) Columns() []ColumnName {
	return Change{Before: c.Mine, After: c.Theirs}.Columns()
}

// Merge is a three-way merge: mine and theirs are both edits of base. Rows changed on one side only, or in the same way
// on both, are merged. Rows changed differently are returned as conflicts; for these, the merged rows hold theirs,
// which has been committed. The unit of the merge is the row, because the limits of one class belong together.
func Merge(base, mine, theirs *Table) (rows []Row, conflicts []Conflict) {
	onlyMine := make(map[ident.ClassName]*Row)
	for _, name := range unionRowNames(Diff(base, mine), Diff(base, theirs)) {
		b, m, t := base.rowOf(name), mine.rowOf(name), theirs.rowOf(name)
		switch {
		case sameRow(m, t), sameRow(b, m):
		case sameRow(b, t):
			onlyMine[name] = m
		default:
			conflicts = append(conflicts, Conflict{Name: name, Base: b, Mine: m, Theirs: t})
		}
	}
	rows = slices.DeleteFunc(theirs.Rows(), func(r Row) bool {
		_, found := onlyMine[r.Name]
		return found
	})
	for _, r := range onlyMine {
		if r != nil {
			rows = append(rows, *r)
		}
	}
	return New(theirs.revision, rows).rows, conflicts
}
