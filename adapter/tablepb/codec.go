// Package tablepb encodes the operators' table as protobuf messages of api/table/v1, for the store and for peers.
package tablepb

import (
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	tablev1 "github.com/bulrushrelay/bulrushrelay/api/table/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/config"
)

// Codec implements config.Codec.
type Codec struct{}

var _ config.Codec = Codec{}

// EncodeHead returns the value of the table's head key.
func (Codec) EncodeHead(h config.Head) ([]byte, error) {
	return proto.Marshal(&tablev1.Head{
		Revision: uint64(h.Revision), Marker: h.Marker.String(), Digest: h.Digest[:],
		ChangesSinceSnapshot: int64(h.ChangesSinceSnapshot),
	})
}

// DecodeHead decodes the value of the table's head key.
func (Codec) DecodeHead(data []byte) (config.Head, error) {
	var m tablev1.Head
	if err := proto.Unmarshal(data, &m); err != nil {
		return config.Head{}, fmt.Errorf("head: %w", err)
	}
	marker, err := table.ParseMarker(m.GetMarker())
	if err != nil {
		return config.Head{}, fmt.Errorf("head: %w", err)
	}
	digest, err := ToDigest(m.GetDigest())
	if err != nil {
		return config.Head{}, fmt.Errorf("head: %w", err)
	}
	return config.Head{
		Revision: table.Revision(m.GetRevision()), Marker: marker, Digest: digest,
		ChangesSinceSnapshot: int(m.GetChangesSinceSnapshot()),
	}, nil
}

// EncodeRecord returns the value of the key of a record.
func (Codec) EncodeRecord(r table.Record) ([]byte, error) {
	return proto.Marshal(FromRecord(r))
}

// DecodeRecord decodes the value of the key of a record.
func (Codec) DecodeRecord(data []byte) (table.Record, error) {
	var m tablev1.Record
	if err := proto.Unmarshal(data, &m); err != nil {
		return table.Record{}, fmt.Errorf("record: %w", err)
	}
	return ToRecord(&m)
}

// EncodeSnapshot returns the value of the key of a snapshot.
func (Codec) EncodeSnapshot(s table.Snapshot) ([]byte, error) {
	return proto.Marshal(FromSnapshot(s))
}

// DecodeSnapshot decodes the value of the key of a snapshot, without verifying its digest.
func (Codec) DecodeSnapshot(data []byte) (table.Snapshot, error) {
	var m tablev1.Snapshot
	if err := proto.Unmarshal(data, &m); err != nil {
		return table.Snapshot{}, fmt.Errorf("snapshot: %w", err)
	}
	return ToSnapshot(&m)
}

// FromRecord converts a record to its message.
func FromRecord(r table.Record) *tablev1.Record {
	delta := make([]*tablev1.Change, len(r.Delta))
	for i, c := range r.Delta {
		delta[i] = &tablev1.Change{Before: fromOptional(c.Before), After: fromOptional(c.After)}
	}
	return &tablev1.Record{
		Revision: uint64(r.Revision), Delta: delta, Author: r.Author, TimeMs: r.Time.UnixMilli(), Reason: r.Reason,
		Marker: r.Marker.String(), Digest: r.Digest[:],
	}
}

// ToRecord converts a message to a record. A change without rows, and a malformed marker or digest, are errors.
func ToRecord(m *tablev1.Record) (table.Record, error) {
	r := table.Record{
		Revision: table.Revision(m.GetRevision()), Author: m.GetAuthor(), Time: time.UnixMilli(m.GetTimeMs()).UTC(),
		Reason: m.GetReason(), Delta: make(table.Delta, len(m.GetDelta())),
	}
	var err error
	if r.Marker, err = table.ParseMarker(m.GetMarker()); err != nil {
		return table.Record{}, fmt.Errorf("record %d: %w", r.Revision, err)
	}
	if r.Digest, err = ToDigest(m.GetDigest()); err != nil {
		return table.Record{}, fmt.Errorf("record %d: %w", r.Revision, err)
	}
	for i, c := range m.GetDelta() {
		change := table.Change{Before: toOptional(c.GetBefore()), After: toOptional(c.GetAfter())}
		switch {
		case change.After != nil:
			change.Name = change.After.Name
		case change.Before != nil:
			change.Name = change.Before.Name
		default:
			return table.Record{}, fmt.Errorf("record %d: change %d has no row", r.Revision, i)
		}
		r.Delta[i] = change
	}
	return r, nil
}

// FromSnapshot converts a snapshot to its message.
func FromSnapshot(s table.Snapshot) *tablev1.Snapshot {
	rows := s.Table.Rows()
	m := &tablev1.Snapshot{Revision: uint64(s.Table.Revision()), Rows: make([]*tablev1.Row, len(rows)), Digest: s.Digest[:]}
	for i, r := range rows {
		m.Rows[i] = fromRow(r)
	}
	return m
}

// ToSnapshot converts a message to a snapshot, without verifying its digest.
func ToSnapshot(m *tablev1.Snapshot) (table.Snapshot, error) {
	digest, err := ToDigest(m.GetDigest())
	if err != nil {
		return table.Snapshot{}, fmt.Errorf("snapshot %d: %w", m.GetRevision(), err)
	}
	rows := make([]table.Row, len(m.GetRows()))
	for i, r := range m.GetRows() {
		rows[i] = toRow(r)
	}
	return table.Snapshot{Table: table.New(table.Revision(m.GetRevision()), rows), Digest: digest}, nil
}

// ToDigest converts the bytes of a message to a digest. Another length than that of a digest is an error.
func ToDigest(data []byte) (table.Digest, error) {
	var d table.Digest
	if len(data) != len(d) {
		return d, fmt.Errorf("digest has %d bytes; want %d", len(data), len(d))
	}
	copy(d[:], data)
	return d, nil
}

func fromOptional(r *table.Row) *tablev1.Row {
	if r == nil {
		return nil
	}
	return fromRow(*r)
}

func toOptional(m *tablev1.Row) *table.Row {
	if m == nil {
		return nil
	}
	r := toRow(m)
	return &r
}

func fromRow(r table.Row) *tablev1.Row {
	kind := tablev1.Kind_KIND_UNSPECIFIED
	switch r.Kind {
	case table.LatencyCritical:
		kind = tablev1.Kind_KIND_LATENCY_CRITICAL
	case table.Batch:
		kind = tablev1.Kind_KIND_BATCH
	}
	return &tablev1.Row{
		Name: string(r.Name), Kind: kind, Idempotent: r.Idempotent, Tenant: string(r.Tenant), Weight: int64(r.Weight),
		RateMilli: int64(math.Round(r.Rate * 1000)), Concurrency: int64(r.Concurrency), Queue: int64(r.Queue),
		DeadlineMs: r.Deadline.Milliseconds(), MilliCpu: r.Resources.MilliCPU, MemoryMb: r.Resources.MemoryMB,
		Accelerators: r.Resources.Accelerators, Retries: int64(r.Retries), Evictions: int64(r.Evictions),
	}
}

func toRow(m *tablev1.Row) table.Row {
	var kind table.Kind
	switch m.GetKind() {
	case tablev1.Kind_KIND_LATENCY_CRITICAL:
		kind = table.LatencyCritical
	case tablev1.Kind_KIND_BATCH:
		kind = table.Batch
	}
	return table.Row{
		Name: ident.ClassName(m.GetName()), Kind: kind, Idempotent: m.GetIdempotent(),
		Tenant: ident.TenantName(m.GetTenant()), Weight: int(m.GetWeight()), Rate: float64(m.GetRateMilli()) / 1000,
		Concurrency: int(m.GetConcurrency()), Queue: int(m.GetQueue()),
		Deadline: time.Duration(m.GetDeadlineMs()) * time.Millisecond,
		Resources: resource.Vector{
			MilliCPU: m.GetMilliCpu(), MemoryMB: m.GetMemoryMb(), Accelerators: m.GetAccelerators(),
		},
		Retries: int(m.GetRetries()), Evictions: int(m.GetEvictions()),
	}
}
