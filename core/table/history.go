package table

import (
	"maps"
	"slices"
)

const (
	// MaxHistoryRevisions bounds the history that is kept.
	MaxHistoryRevisions = 200
	// SnapshotIntervalRevisions is the number of revisions between snapshots in the store.
	SnapshotIntervalRevisions = 50
	// SnapshotIntervalChanges forces a snapshot after that many changed rows, so that a reader loads at most about 1 MB of
	// deltas on top of it.
	SnapshotIntervalChanges = 2000
	// historyChanges bounds the changed rows that a host holds in memory; at about 500 bytes each this is 10 MB.
	historyChanges = 20_000
)

// RecentRecords holds the newest records that a host has seen. It is not safe for concurrent use.
type RecentRecords struct {
	records map[Revision]Record
	changes int
	newest  Revision
}

// Add stores a record and drops those that exceed the bounds, oldest first.
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
	if len(h.records) <= MaxHistoryRevisions && h.changes <= historyChanges {
		return
	}
	for _, revision := range slices.Sorted(maps.Keys(h.records)) {
		outside := revision+MaxHistoryRevisions <= h.newest
		if !outside && h.changes <= historyChanges || len(h.records) == 1 {
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

// Between returns the records after since up to and including last, if all are held and their changes are at most
// maxChanges.
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
