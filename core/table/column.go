package table

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Bounds of a table. A value in the store holds at most 1 MB. The largest delta replaces every row and holds each row
// before and after the change, at most 210 bytes each, so that 2000 rows stay below 0.9 MB.
const (
	// MaxRows bounds the rows of a table.
	MaxRows = 2000
	// MaxNameBytes bounds the names of classes and tenants.
	MaxNameBytes = 63
)

// ColumnName names a column of the table.
type ColumnName string

// The columns of the table.
const (
	ColName         ColumnName = "name"
	ColKind         ColumnName = "kind"
	ColIdempotent   ColumnName = "idempotent"
	ColTenant       ColumnName = "tenant"
	ColWeight       ColumnName = "weight"
	ColRate         ColumnName = "rate"
	ColConcurrency  ColumnName = "concurrency"
	ColQueue        ColumnName = "queue"
	ColDeadline     ColumnName = "deadline"
	ColProcessors   ColumnName = "processors"
	ColMemory       ColumnName = "memory"
	ColAccelerators ColumnName = "accelerators"
	ColRetries      ColumnName = "retries"
	ColEvictions    ColumnName = "evictions"
)

// Column describes one column. Text columns have no get and set; getText and setText handle them by name.
type Column struct {
	Name ColumnName
	// Unit is the unit of the values; empty for text and plain counts.
	Unit string
	// Default is the text that stands for a blank value; a column with Required has none.
	Default  string
	Required bool
	// Allowed lists the values of a text column; nil if any name is allowed.
	Allowed []string
	// Min and Max bound the values of a numeric column, in Unit.
	Min, Max float64
	// Decimals is the number of digits allowed after the point of a numeric column.
	Decimals int
	// Effect says what the column controls.
	Effect string

	get func(Row) float64
	set func(*Row, float64)
}

// Numeric reports whether the column holds numbers.
func (c Column) Numeric() bool {
	return c.get != nil
}

// Columns returns the schema in the order in which the table is shown.
func Columns() []Column {
	return append([]Column(nil), columns...)
}

// FindColumn returns the column with the given name.
func FindColumn(name ColumnName) (Column, bool) {
	for _, c := range columns {
		if c.Name == name {
			return c, true
		}
	}
	return Column{}, false
}

var columns = []Column{
	{
		Name: ColName, Required: true,
		Effect: "Names the class; requests and jobs refer to it.",
	},
	{
		Name: ColKind, Required: true, Allowed: []string{string(LatencyCritical), string(Batch)},
		Effect: "Latency-critical work is answered before its deadline and may displace batch work; batch work may be evicted.",
	},
	{
		Name: ColIdempotent, Default: "no", Allowed: []string{"yes", "no"},
		Effect: "Requests of an idempotent class may be repeated after an unknown outcome; others run at most once.",
	},
	{
		Name: ColTenant, Required: true,
		Effect: "Names the team whose fair share and quota the class uses.",
	},
	{
		Name: ColWeight, Default: "1", Min: 1, Max: 10_000,
		Effect: "Share of the class relative to the other classes when work waits.",
		get:    func(r Row) float64 { return float64(r.Weight) },
		set:    func(r *Row, v float64) { r.Weight = int(v) },
	},
	{
		Name: ColRate, Unit: "1/s", Default: "0", Max: 1_000_000, Decimals: 3,
		Effect: "Limits the requests started a second in the whole fleet; 0 is unlimited.",
		get:    func(r Row) float64 { return r.Rate },
		set:    func(r *Row, v float64) { r.Rate = v },
	},
	{
		Name: ColConcurrency, Default: "0", Max: 1_000_000,
		Effect: "Limits the requests in progress or the tasks running in the whole fleet; 0 is unlimited.",
		get:    func(r Row) float64 { return float64(r.Concurrency) },
		set:    func(r *Row, v float64) { r.Concurrency = int(v) },
	},
	{
		Name: ColQueue, Default: "100", Max: 100_000,
		Effect: "Limits the requests that wait in one cell; 0 lets none wait.",
		get:    func(r Row) float64 { return float64(r.Queue) },
		set:    func(r *Row, v float64) { r.Queue = int(v) },
	},
	{
		Name: ColDeadline, Unit: "ms", Default: "0", Max: 86_400_000,
		Effect: "Longest time from arrival to answer, or from submission to start for tasks; 0 is none, for batch only.",
		get:    func(r Row) float64 { return float64(r.Deadline) / float64(time.Millisecond) },
		set:    func(r *Row, v float64) { r.Deadline = time.Duration(v) * time.Millisecond },
	},
	{
		Name: ColProcessors, Unit: "processors", Default: "0", Max: 10_000_000, Decimals: 3,
		Effect: "Limits the processors that the running tasks of the class hold together; 0 is unlimited.",
		get:    func(r Row) float64 { return float64(r.Resources.MilliCPU) / 1000 },
		set:    func(r *Row, v float64) { r.Resources.MilliCPU = toMilli(v) },
	},
	{
		Name: ColMemory, Unit: "MB", Default: "0", Max: 10_000_000_000,
		Effect: "Limits the memory that the running tasks of the class hold together; 0 is unlimited.",
		get:    func(r Row) float64 { return float64(r.Resources.MemoryMB) },
		set:    func(r *Row, v float64) { r.Resources.MemoryMB = int64(v) },
	},
	{
		Name: ColAccelerators, Default: "0", Max: 1_000_000,
		Effect: "Limits the accelerators that the running tasks of the class hold together; 0 is unlimited.",
		get:    func(r Row) float64 { return float64(r.Resources.Accelerators) },
		set:    func(r *Row, v float64) { r.Resources.Accelerators = int64(v) },
	},
	{
		Name: ColRetries, Default: "2", Max: 100,
		Effect: "Limits the repeats of a request or the failed attempts of a task; 0 is none. A request makes at most three attempts.",
		get:    func(r Row) float64 { return float64(r.Retries) },
		set:    func(r *Row, v float64) { r.Retries = int(v) },
	},
	{
		Name: ColEvictions, Default: "3", Max: 1_000,
		Effect: "Limits how often one task of the class may be evicted; 0 is never.",
		get:    func(r Row) float64 { return float64(r.Evictions) },
		set:    func(r *Row, v float64) { r.Evictions = int(v) },
	},
}

// getText returns the value of a text column.
func (c Column) getText(r Row) string {
	switch c.Name {
	case ColName:
		return string(r.Name)
	case ColKind:
		return string(r.Kind)
	case ColTenant:
		return string(r.Tenant)
	case ColIdempotent:
		if r.Idempotent {
			return "yes"
		}
		return "no"
	default:
		return ""
	}
}

func (c Column) setText(r *Row, text string) {
	switch c.Name {
	case ColName:
		r.Name = ident.ClassName(text)
	case ColKind:
		r.Kind = Kind(text)
	case ColTenant:
		r.Tenant = ident.TenantName(text)
	case ColIdempotent:
		r.Idempotent = text == "yes"
	}
}
