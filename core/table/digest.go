package table

import (
	"crypto/sha256"
	"strconv"
)

// Digest identifies the rows of a table, without its revision. Equal digests mean equal rows.
type Digest [sha256.Size]byte

// Digest returns the digest of the rows.
func (t *Table) Digest() Digest {
	buf := make([]byte, 0, 128*len(t.rows))
	for i := range t.rows {
		buf = appendRow(buf, &t.rows[i])
	}
	return sha256.Sum256(buf)
}

// appendRow appends an unambiguous encoding of a row: texts are preceded by their length, numbers end with a comma.
func appendRow(buf []byte, r *Row) []byte {
	text := func(s string) {
		buf = strconv.AppendInt(buf, int64(len(s)), 10)
		buf = append(buf, ':')
		buf = append(buf, s...)
	}
	number := func(n int64) {
		buf = strconv.AppendInt(buf, n, 10)
		buf = append(buf, ',')
	}
	text(string(r.Name))
	text(string(r.Kind))
	buf = strconv.AppendBool(buf, r.Idempotent)
	text(string(r.Tenant))
	number(int64(r.Weight))
	number(toMilli(r.Rate))
	number(int64(r.Concurrency))
	number(int64(r.Queue))
	number(int64(r.Deadline))
	number(r.Resources.MilliCPU)
	number(r.Resources.MemoryMB)
	number(r.Resources.Accelerators)
	number(int64(r.Retries))
	number(int64(r.Evictions))
	return buf
}
