package table

import (
	"maps"
	"slices"
)

const (
	// MaxHistoryRevisions bounds the revisions whose records are kept.
	MaxHistoryRevisions = 200
	// SnapshotIntervalRevisions is the number of revisions between snapshots in the store.
	SnapshotIntervalRevisions = 50
	// SnapshotIntervalChanges is the number of changed rows since the last snapshot above which another one is written, so
	// that a reader loads at most about 1 MB of deltas in addition to a snapshot.
	SnapshotIntervalChanges = 2000
	// maxHeldChanges bounds the changed rows that a host keeps in memory; at about 500 bytes each this is 10 MB.
	maxHeldChanges = 20_000
)

// RecentRecords holds the newest records that a host has received. It is not safe for concurrent use.
type RecentRecords struct {
	records map[Revision]Record
	changes int
	newest  Revision
}

// Add stores a record and drops the oldest ones until at most MaxHistoryRevisions records and maxHeldChanges changed
// rows are left. It keeps at least one record.
func (h *RecentRecords) Add(r Record) {
	if h.records == nil {
		h.records = make(map[Revision]Record)
	}
	if _, found := h.records[r.Revision]; found {
		return
	}
	h.records[r.Revision] = r
	h.changes += len(r.Delta)
	h.newest = max(h.newest, r.Revision)
	if len(h.records) <= MaxHistoryRevisions && h.changes <= maxHeldChanges {
		return
	}
	for _, revision := range slices.Sorted(maps.Keys(h.records)) {
		outside := revision+MaxHistoryRevisions <= h.newest
		if !outside && h.changes <= maxHeldChanges || len(h.records) == 1 {
			return
		}
		h.changes -= len(h.records[revision].Delta)
		delete(h.records, revision)
	}
}

// Get returns the record of a revision.
func (h *RecentRecords) Get(revision Revision) (Record, bool) {
	r, found := h.records[revision]
	return r, found
}

// Between returns the records after since up to and including last. It reports false if one of them is missing or if
// they change more than maxChanges rows.
func (h *RecentRecords) Between(since, last Revision, maxChanges int) ([]Record, bool) {
	if last < since || last-since > MaxHistoryRevisions {
		return nil, false
	}
	records := make([]Record, 0, last-since)
	changes := 0
	for revision := since + 1; revision <= last; revision++ {
		r, found := h.records[revision]
		changes += len(r.Delta)
		if !found || changes > maxChanges {
			return nil, false
		}
		records = append(records, r)
	}
	return records, true
}
