// Package table holds the operators' table: one row per class of work, with its weight and limits.
package table

import (
	"slices"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// Kind is the kind of work of a class: latency-critical or batch.
type Kind string

const (
	// LatencyCritical work is answered before its deadline and may displace batch work.
	LatencyCritical Kind = "latency-critical"
	// Batch work is finished eventually and may be evicted.
	Batch Kind = "batch"
)

// Revision numbers the accepted states of the table, from 1. 0 means that no table has been accepted.
type Revision uint64

// Row describes one class of work. A limit of 0 means unlimited unless stated otherwise.
type Row struct {
	Name       ident.ClassName
	Kind       Kind
	Idempotent bool
	Tenant     ident.TenantName
	// Weight is the share of the class relative to the other classes, at least 1.
	Weight int
	// Rate limits the requests started per second in the whole fleet.
	Rate float64
	// Concurrency limits the requests in progress, or the tasks running, in the whole fleet.
	Concurrency int
	// Queue limits the requests of the class waiting in one cell; 0 means that none may wait.
	Queue int
	// Deadline is the longest time from arrival to answer, or from submission to start for tasks.
	Deadline time.Duration
	// Resources limits what the running tasks of the class hold together; a zero dimension is unlimited.
	Resources resource.Vector
	// Retries limits the repeats of a request, or the failed attempts of a task; 0 means none.
	Retries int
	// Evictions limits how often one task of the class may be evicted; 0 means never.
	Evictions int
}

// Table is one accepted state of the operators' table. It is immutable.
type Table struct {
	revision Revision
	rows     []Row
}

// New returns a table with the rows sorted by name. It does not validate them.
func New(revision Revision, rows []Row) *Table {
	sorted := slices.Clone(rows)
	slices.SortFunc(sorted, func(a, b Row) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return &Table{revision: revision, rows: sorted}
}

// Revision returns the revision of the table.
func (t *Table) Revision() Revision {
	return t.revision
}

// Len returns the number of rows.
func (t *Table) Len() int {
	return len(t.rows)
}

// Rows returns a copy of the rows, sorted by name.
func (t *Table) Rows() []Row {
	return slices.Clone(t.rows)
}

// Lookup returns the row of a class.
func (t *Table) Lookup(name ident.ClassName) (Row, bool) {
	i, found := slices.BinarySearchFunc(t.rows, name, func(r Row, n ident.ClassName) int {
		return strings.Compare(string(r.Name), string(n))
	})
	if !found {
		return Row{}, false
	}
	return t.rows[i], true
}
