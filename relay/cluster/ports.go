// Package cluster runs the membership and the ownership of cells of one relay host: it keeps the host's lease and
// records in the store, exchanges state with other members, and tells the rest of the daemon which cells the host may
// serve.
package cluster

import (
	"context"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/membership"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
)

// Transport calls other relay hosts. Addresses are host:port.
type Transport interface {
	// Exchange sends membership state and returns the member's, with its report made after the call arrived.
	Exchange(ctx context.Context, address string, r membership.Request) (membership.Reply, ownership.Report, error)
	// Probe checks that a process answers at the address and returns its instance. With a target, the process at
	// address probes the target at targetAddress instead; reached says whether that succeeded.
	Probe(ctx context.Context, address string, target ident.Instance, targetAddress string) (at ident.Instance, reached bool, err error)
	// Fence asks the process at the address to give way in a cell.
	Fence(ctx context.Context, address string, cell ident.CellID, epoch ident.Epoch) (FenceAnswer, error)
}

// FenceAnswer is the answer of a process that was asked to give way in a cell.
type FenceAnswer struct {
	From    ident.Instance
	Stopped bool
	// BusyFor is how long requests under way may still hold slots.
	BusyFor time.Duration
}

// MemberRecord is the leased record of a member in the store.
type MemberRecord struct {
	Instance   ident.Instance
	DataCentre ident.DataCentre
	Address    string
	// MilliCPU is the processor time that the host may use, in thousandths of a core; 0 if it does not say.
	MilliCPU int64
}

// Codec turns the records in the store into values and back. Decoding reports malformed values as errors.
type Codec interface {
	EncodeMember(m MemberRecord) []byte
	DecodeMember(value []byte) (MemberRecord, error)
	EncodeOwner(r ownership.Record) []byte
	DecodeOwner(value []byte) (ownership.Record, error)
}

// MemberPrefix precedes the keys of the leased member records.
const MemberPrefix = "/member/"

// The keys in the store. One watch on /own covers the leased and the lasting ownership records; one on /member covers
// the leased members and the roster of hosts.
const (
	ownPrefix    = "/own/"
	lastPrefix   = "/own-last/"
	ownWatch     = "/own"
	rosterPrefix = "/member-roster/"
	memberWatch  = "/member"
)
