package jobs

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// The gate of an inbox is a key that holds the epoch of the owner that has closed the inbox, or openGate. The inbox is closed
// as long as no later owner has the cell. The key is never deleted, so that each of its revisions stands for one state.

// openGate is the value of a gate that its owner has opened before it handed the cell over. No epoch is 0.
const openGate ident.Epoch = 0

func gateKey(cell ident.CellID) string { return fmt.Sprintf("/cell/%d/gate", cell) }

func encodeGate(closedBy ident.Epoch) []byte { return strconv.AppendUint(nil, uint64(closedBy), 10) }

// errInboxClosed means that the owner of the cell accepts jobs itself.
var errInboxClosed = errors.New("the inbox is closed: the cell has an owner, or no host has claimed it since")

// openGateRevision returns the revision of the gate of a cell, 0 if there is none. The error is errInboxClosed if the gate is
// closed. A write that names the revision takes effect only while no owner has closed the inbox since: an epoch that has
// ended never comes back.
func openGateRevision(ctx context.Context, s Store, cell ident.CellID) (store.Revision, error) {
	callCtx, cancel := context.WithTimeout(ctx, inboxReadTimeout)
	defer cancel()
	gate, found, err := s.Get(callCtx, gateKey(cell))
	if err != nil || !found {
		return 0, err
	}
	closedBy, err := strconv.ParseUint(string(gate.Value), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("the gate of the inbox of cell %d: %w", cell, err)
	}
	if ident.Epoch(closedBy) == openGate {
		return gate.ModRevision, nil
	}
	record, owned, err := s.Get(callCtx, ownKey(cell))
	if err != nil {
		return 0, err
	}
	if !owned || ident.Epoch(record.CreateRevision) <= ident.Epoch(closedBy) {
		return 0, errInboxClosed
	}
	return gate.ModRevision, nil
}

// closeGate closes the inbox for all hosts while this owner has the cell. It returns the revision of the closed gate.
func (l *cellLog) closeGate(ctx context.Context) (store.Revision, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	gate, _, err := l.store.Get(callCtx, gateKey(l.cell))
	if err != nil {
		return 0, err
	}
	return l.replaceAsOwner(ctx, gateKey(l.cell), gate.ModRevision, encodeGate(l.epoch))
}

// reopenGate opens a gate that this owner has closed. The condition on its revision keeps a late write from opening a gate
// that was closed again.
func (l *cellLog) reopenGate(ctx context.Context, closed store.Revision) error {
	callCtx, cancel := context.WithTimeout(ctx, inboxWriteTimeout)
	defer cancel()
	_, err := l.replaceAsOwner(callCtx, gateKey(l.cell), closed, encodeGate(openGate))
	return err
}

// errNotInInbox returns the error of a job that a host could not write into an inbox. written says whether an attempt may
// have taken effect.
func errNotInInbox(job ident.JobID, written bool, cause error) error {
	v := verdict.NotRun
	if written {
		v = verdict.MayHaveRun
	}
	return verdict.Wrap(cause, v, verdict.CodeUnavailable, "inbox of job %s", job)
}
