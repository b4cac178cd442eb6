// Package config commits and replicates the operators' table. The store holds the newest revision, its history and a
// snapshot. Two hosts in each data centre watch the store, and the others learn of new revisions from their peers.
package config

import (
	"context"
	"fmt"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// Keys in the store.
const (
	keyPrefix   = "/table/"
	keyHead     = "/table/head"
	keySnapshot = "/table/snap"
	keyRecords  = "/table/rev/"
)

func recordKey(r table.Revision) string {
	return fmt.Sprintf("%s%020d", keyRecords, r)
}

// Head describes the newest revision in the store.
type Head struct {
	Revision table.Revision
	Marker   table.Marker
	Digest   table.Digest
	// ChangesSinceSnapshot counts the changed rows since the snapshot.
	ChangesSinceSnapshot int
}

// Codec encodes the values in the store.
type Codec interface {
	EncodeHead(h Head) ([]byte, error)
	DecodeHead(data []byte) (Head, error)
	EncodeRecord(r table.Record) ([]byte, error)
	DecodeRecord(data []byte) (table.Record, error)
	EncodeSnapshot(s table.Snapshot) ([]byte, error)
	DecodeSnapshot(data []byte) (table.Snapshot, error)
}

// PeerDigest describes the table in force on one host. Times are ages, because the clocks of hosts differ.
type PeerDigest struct {
	Instance ident.Instance
	// Loaded is false if the host has no table; Revision, Digest and InForce are meaningless then.
	Loaded   bool
	Revision table.Revision
	Digest   table.Digest
	InForce  time.Duration
	// StoreContact is the time since the host itself reached the store; negative if it never has.
	StoreContact time.Duration
	// KnownStoreContact is the time since any host known to it reached the store; negative if none has.
	KnownStoreContact time.Duration
}

// Update is what a host lacks: the records after its revision, or a snapshot.
type Update struct {
	Records  []table.Record
	Snapshot *table.Snapshot
}

// Peers makes calls to other relay hosts.
type Peers interface {
	// Digest sends the digest of this host to another host and returns that host's digest.
	Digest(ctx context.Context, host ident.HostID, mine PeerDigest) (PeerDigest, error)
	// Fetch returns the records that follow revision since; full requests a snapshot.
	Fetch(ctx context.Context, host ident.HostID, since table.Revision, full bool) (Update, error)
}

// Members provides the relay hosts.
type Members interface {
	// LiveHosts returns the other hosts that are considered alive.
	LiveHosts() []ident.HostID
	// LeasedMembers reads the members that hold a lease in the store, this host included.
	LeasedMembers(ctx context.Context) ([]ident.Instance, error)
}
