package operatorhttp

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/config"
)

// Headers of the operator API.
const (
	HeaderVerdict  = "Bulrush-Verdict"
	HeaderRevision = "Bulrush-Table-Revision"
)

// Row is a table row that is encoded as a JSON object with one member per column, in the order of the schema. Numeric
// cells are JSON numbers, the others are strings.
type Row table.Row

// MarshalJSON implements json.Marshaler.
func (r Row) MarshalJSON() ([]byte, error) {
	var buf bytes.Buffer
	buf.WriteByte('{')
	for i, c := range table.Columns() {
		if i > 0 {
			buf.WriteByte(',')
		}
		text := c.Text(table.Row(r))
		if !c.Numeric() {
			quoted, err := json.Marshal(text)
			if err != nil {
				return nil, err
			}
			text = string(quoted)
		}
		fmt.Fprintf(&buf, "%q:%s", c.Name, text)
	}
	buf.WriteByte('}')
	return buf.Bytes(), nil
}

// UnmarshalJSON implements json.Unmarshaler. Absent members take their defaults. Invalid cells are returned as an
// error of type table.Faults.
func (r *Row) UnmarshalJSON(data []byte) error {
	var cells map[table.ColumnName]any
	decoder := json.NewDecoder(bytes.NewReader(data))
	// json.Number keeps the digits as they were written.
	decoder.UseNumber()
	if err := decoder.Decode(&cells); err != nil {
		return err
	}
	row, faults := rowFromCells(cells)
	*r = Row(row)
	return faults.Err()
}

// rowFromCells returns the row with the given cells and every fault in it. The caller sets the row number of the
// faults.
func rowFromCells(cells map[table.ColumnName]any) (table.Row, table.Faults) {
	var (
		row    table.Row
		faults table.Faults
	)
	for _, c := range table.Columns() {
		text, err := cellText(cells[c.Name])
		if err == nil {
			err = c.Set(&row, text)
		}
		if err != nil {
			faults = append(faults, table.Fault{Column: c.Name, Message: err.Error()})
		}
	}
	for name := range cells {
		if _, found := table.FindColumn(name); !found {
			faults = append(faults, table.Fault{Column: name, Message: "unknown column"})
		}
	}
	for i := range faults {
		faults[i].Name = string(row.Name)
	}
	return row, faults
}

// cellText returns the text of a decoded JSON value; null is empty.
func cellText(value any) (string, error) {
	switch v := value.(type) {
	case nil:
		return "", nil
	case string:
		return v, nil
	case json.Number:
		return v.String(), nil
	case bool:
		return fmt.Sprint(v), nil
	default:
		return "", fmt.Errorf("is neither a string nor a number")
	}
}

// Table is a revision of the table.
type Table struct {
	Revision table.Revision `json:"revision"`
	Rows     []Row          `json:"rows"`
}

// ToRows returns the rows as table.Row values.
func (t Table) ToRows() []table.Row {
	return toRows(t.Rows)
}

func toRows(rows []Row) []table.Row {
	out := make([]table.Row, len(rows))
	for i, r := range rows {
		out[i] = table.Row(r)
	}
	return out
}

func fromRows(rows []table.Row) []Row {
	out := make([]Row, len(rows))
	for i, r := range rows {
		out[i] = Row(r)
	}
	return out
}

func optionalRow(r *table.Row) *Row {
	return (*Row)(r)
}

// Column describes a column of the table.
type Column struct {
	Name     table.ColumnName `json:"name"`
	Unit     string           `json:"unit,omitempty"`
	Range    string           `json:"range"`
	Default  string           `json:"default,omitempty"`
	Required bool             `json:"required,omitempty"`
	Allowed  []string         `json:"allowed,omitempty"`
	Numeric  bool             `json:"numeric,omitempty"`
	Effect   string           `json:"effect"`
}

func fromColumn(c table.Column) Column {
	return Column{
		Name: c.Name, Unit: c.Unit, Range: c.Range(), Default: c.Default, Required: c.Required, Allowed: c.Allowed,
		Numeric: c.Numeric(), Effect: c.Effect,
	}
}

// Explanation describes one cell of the table.
type Explanation struct {
	Revision      table.Revision `json:"revision"`
	Row           string         `json:"row"`
	Column        Column         `json:"column"`
	Value         string         `json:"value"`
	CurrentEffect string         `json:"now"`
}

// Fault is one reason why a table is invalid. Line is set for CSV, and Row, counted from 1, for JSON.
type Fault struct {
	Line    int              `json:"line,omitempty"`
	Row     int              `json:"row,omitempty"`
	Name    string           `json:"name,omitempty"`
	Column  table.ColumnName `json:"column,omitempty"`
	Message string           `json:"message"`
}

// Warning is a valid limit that is probably a mistake.
type Warning struct {
	Name    string           `json:"name,omitempty"`
	Column  table.ColumnName `json:"column"`
	Message string           `json:"message"`
}

// Validation holds the number of rows of a checked table with its faults and warnings.
type Validation struct {
	Rows     int       `json:"rows"`
	Faults   []Fault   `json:"faults"`
	Warnings []Warning `json:"warnings"`
}

// Change is the change of one row. Before is absent for an added row, After for a removed one.
type Change struct {
	Name    string             `json:"name"`
	Before  *Row               `json:"before,omitempty"`
	After   *Row               `json:"after,omitempty"`
	Columns []table.ColumnName `json:"columns,omitempty"`
}

func fromDelta(d table.Delta) []Change {
	changes := make([]Change, len(d))
	for i, c := range d {
		changes[i] = Change{
			Name: string(c.Name), Before: optionalRow(c.Before), After: optionalRow(c.After), Columns: c.Columns(),
		}
	}
	return changes
}

// Diff holds the changes between two tables. To is 0 for a table that is not committed.
type Diff struct {
	From    table.Revision `json:"from"`
	To      table.Revision `json:"to,omitempty"`
	Changes []Change       `json:"changes"`
}

// Record is the history entry of one revision.
type Record struct {
	Revision table.Revision `json:"revision"`
	Author   string         `json:"author"`
	Time     time.Time      `json:"time"`
	Reason   string         `json:"reason"`
	Marker   string         `json:"marker"`
	Changes  []Change       `json:"changes"`
}

// History holds consecutive records, newest first. Complete is false if records are missing because the store could
// not be reached.
type History struct {
	Records  []Record `json:"records"`
	Complete bool     `json:"complete"`
}

// CommitResult is the answer to a change that took effect.
type CommitResult struct {
	Revision  table.Revision `json:"revision"`
	Marker    string         `json:"marker"`
	Unchanged bool           `json:"unchanged,omitempty"`
	Warnings  []Warning      `json:"warnings,omitempty"`
}

// Outcome tells whether a change took effect. Hint explains the state to the operator.
type Outcome struct {
	Marker string              `json:"marker"`
	State  config.OutcomeState `json:"state"`
	Hint   string              `json:"hint"`
}

// Conflict is a row that two operators changed in different ways.
type Conflict struct {
	Name    string             `json:"name"`
	Base    *Row               `json:"base,omitempty"`
	Mine    *Row               `json:"mine,omitempty"`
	Theirs  *Row               `json:"theirs,omitempty"`
	Columns []table.ColumnName `json:"columns,omitempty"`
}

// Merge is the answer to a change whose base is no longer the newest revision. Merged holds the rows of Head with
// those of the operator's changes that do not conflict.
type Merge struct {
	Base      table.Revision `json:"base"`
	Head      table.Revision `json:"head"`
	Merged    []Row          `json:"merged"`
	Conflicts []Conflict     `json:"conflicts"`
}

// Problem is the body of every error answer.
type Problem struct {
	Code    string  `json:"code"`
	Verdict string  `json:"verdict"`
	Message string  `json:"message"`
	Faults  []Fault `json:"faults,omitempty"`
	Merge   *Merge  `json:"merge,omitempty"`
	// Marker is set if the outcome is unknown. GET /v1/table/changes/<marker> returns it later.
	Marker string `json:"marker,omitempty"`
}

// HostStatus is the state of the table on one host. Seen is when the state was reported.
type HostStatus struct {
	Host        string         `json:"host"`
	Incarnation uint64         `json:"incarnation"`
	Loaded      bool           `json:"loaded"`
	Revision    table.Revision `json:"revision"`
	Digest      string         `json:"digest"`
	// InForceSince and StoreContact are absent if the event has not happened since the start of the host.
	InForceSince *time.Time `json:"in_force_since,omitempty"`
	StoreContact *time.Time `json:"store_contact,omitempty"`
	Seen         time.Time  `json:"seen"`
}

// Status is what the called host knows about the table on all hosts. Watcher tells whether it watches the store for
// its data centre.
type Status struct {
	Self        HostStatus `json:"self"`
	Source      string     `json:"source,omitempty"`
	Watcher     bool       `json:"watcher"`
	StoreFault  string     `json:"store_fault,omitempty"`
	Divergence  string     `json:"divergence,omitempty"`
	PeerContact *time.Time `json:"peer_contact,omitempty"`
	// Hosts lists the other hosts by their last report, which may be out of date. RolloutStatus is not.
	Hosts []HostStatus `json:"hosts"`
}

// RolloutStatus tells whether a revision is in force on every member with a lease. Missing lists the members that have
// not confirmed it.
type RolloutStatus struct {
	Revision  table.Revision `json:"revision"`
	InForce   bool           `json:"in_force"`
	Members   int            `json:"members"`
	Confirmed int            `json:"confirmed"`
	Missing   []string       `json:"missing"`
	Reason    string         `json:"reason,omitempty"`
}
