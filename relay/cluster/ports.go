// Package cluster manages the membership of one relay host and its ownership of cells: it maintains the host's lease
// and records in the store, exchanges state with other members, and tells the rest of the daemon which cells the host
// may serve.
package cluster

import (
	"context"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/membership"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
)

// Transport makes calls to other relay hosts. Addresses are host:port.
type Transport interface {
	// Exchange sends membership state and returns the state of the member, with its ownership report, which it made
	// after the call arrived.
	Exchange(ctx context.Context, address string, r membership.Request) (membership.Reply, ownership.Report, error)
	// Probe checks that a process answers at the address and returns its instance. If target is set, the process at
	// address probes the target at targetAddress instead, and reached reports whether that succeeded.
	Probe(ctx context.Context, address string, target ident.Instance, targetAddress string) (at ident.Instance, reached bool, err error)
	// Fence asks the process at the address to give up a cell to the owner with the given epoch.
	Fence(ctx context.Context, address string, cell ident.CellID, epoch ident.Epoch) (FenceAnswer, error)
}

// FenceAnswer is the answer of a process that was asked to give up a cell. Stopped reports whether it has.
type FenceAnswer struct {
	From    ident.Instance
	Stopped bool
	// BusyFor is how long requests in progress may still hold slots.
	BusyFor time.Duration
}

// MemberRecord is the record of a member in the store.
type MemberRecord struct {
	Instance   ident.Instance
	DataCentre ident.DataCentre
	Address    string
	// MilliCPU is the processor time available to the host, in thousandths of a core; 0 if unknown.
	MilliCPU int64
}

// Codec encodes the records in the store. Decoding returns an error for malformed values.
type Codec interface {
	EncodeMember(m MemberRecord) []byte
	DecodeMember(value []byte) (MemberRecord, error)
	EncodeOwner(r ownership.Record) []byte
	DecodeOwner(value []byte) (ownership.Record, error)
}

// MemberPrefix is the prefix of the keys of leased member records.
const MemberPrefix = "/member/"

// Key prefixes in the store. One watch on /own covers the leased and the lasting ownership records; one on /member
// covers the leased members and the roster of hosts.
const (
	ownPrefix    = "/own/"
	lastPrefix   = "/own-last/"
	ownWatch     = "/own"
	rosterPrefix = "/member-roster/"
	memberWatch  = "/member"
)
