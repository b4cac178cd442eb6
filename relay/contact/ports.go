// Package contact finds out which workers of a cell other hosts reach, and hands the cell to a host that reaches clearly
// more of them than its owner.
package contact

import (
	"context"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/reach"
)

// MaxWorkersAsked is the number of workers that one question may name.
const MaxWorkersAsked = 24

// Workers knows the workers of the cells that this host owns. *jobs.Service implements it.
type Workers interface {
	// Contact returns which workers the owner reaches; ok is false if the cell has not been acquired.
	Contact(cell ident.CellID) (c reach.Contact, ok bool)
	// Members returns those of the workers that the cell knows.
	Members(cell ident.CellID, ids []ident.WorkerID) []lifecycle.Member
}

// Owners decides who owns a cell. *cluster.Service implements it.
type Owners interface {
	Grant(cell ident.CellID) ownership.Grant
	// Candidates returns the other hosts that may own the cell, the most preferred first.
	Candidates(cell ident.CellID) []ident.Instance
	// PreferredOver returns the host that would relieve this one if the cell had not been gained by reach.
	PreferredOver(cell ident.CellID) (ident.Instance, bool)
	// ConfirmReach notes that a preferred host reaches as many workers as this one.
	ConfirmReach(cell ident.CellID, host ident.Instance)
	// HandOverTo starts to hand over the cell that this host holds under the epoch. It reports whether it does.
	HandOverTo(cell ident.CellID, epoch ident.Epoch, successor ident.Instance) bool
	// AddressOf returns the address of an instance for calls of other hosts; "" if it is unknown.
	AddressOf(i ident.Instance) string
}

// Peers asks other hosts. An error means that the host gave no answer, which says nothing about the workers.
type Peers interface {
	Reach(ctx context.Context, address string, cell ident.CellID, workers []lifecycle.Member) ([]ident.WorkerID, error)
}

// Prober calls a worker without an effect on it. It returns when ctx ends at the latest.
type Prober interface {
	Reaches(ctx context.Context, m lifecycle.Member) bool
}
