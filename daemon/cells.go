package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/adapter/peergrpc"
	"github.com/bulrushrelay/bulrushrelay/core/admission"
	"github.com/bulrushrelay/bulrushrelay/core/cellmap"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ledger"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/routing"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// directory tells which host owns a cell or answers for a ledger.
type directory interface {
	// Owner returns the owner of a cell and its peer address; false if none is known.
	Owner(cell ident.CellID) (ident.Instance, string, bool)
	// Answering returns the peer addresses of the hosts that may answer for the keys of an instance, best first: the
	// instance itself unless it has left, and hosts that took its ledger over.
	Answering(issuer ident.Instance) []string
	// Loads returns the load of every cell as its owner last gossiped it.
	Loads() []routing.CellLoad
}

// localCells runs requests in the cells that this host owns.
type localCells interface {
	Execute(ctx context.Context, cell ident.CellID, r request.Request) (request.Answer, error)
}

// cellRouter passes requests to the owners of cells. It implements entry.Cells and entry.Issuers.
type cellRouter struct {
	self      ident.Instance
	centre    ident.DataCentre
	cells     cellmap.Map
	directory directory
	local     localCells
	peers     *peergrpc.RequestClient

	// mu guards random, which is not safe for concurrent use.
	mu     sync.Mutex
	random *rand.Rand
}

// Choose implements entry.Cells. Each choice leaves out the cells chosen before, so that a retry goes elsewhere.
func (r *cellRouter) Choose(_ ident.ClassName, n int) []ident.CellID {
	loads := r.directory.Loads()
	var out []ident.CellID
	for len(out) < n {
		r.mu.Lock()
		cell, ok := routing.ChooseCell(r.random, r.centre, loads)
		r.mu.Unlock()
		if !ok {
			break
		}
		out = append(out, cell)
		for i := range loads {
			if loads[i].Cell == cell {
				loads[i].Usable = false
			}
		}
	}
	return out
}

// Local implements entry.Cells.
func (r *cellRouter) Local(cell ident.CellID) bool { return r.cells.DataCentre(cell) == r.centre }

// Execute implements entry.Cells.
func (r *cellRouter) Execute(ctx context.Context, cell ident.CellID, req request.Request) (request.Answer, error) {
	owner, address, ok := r.directory.Owner(cell)
	if !ok {
		return request.Answer{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "cell %d has no known owner", cell)
	}
	if owner == r.self {
		return r.local.Execute(ctx, cell, req)
	}
	return r.peers.Execute(ctx, address, cell, req)
}

// ExecuteKeyed implements entry.Issuers. It goes on to the next host only if the one before was not reached or has closed
// its ledger: a host takes a ledger over only after its issuer closed it, so that no two hosts can accept the key. A
// failure to reach any of them proves only that this attempt was not run.
func (r *cellRouter) ExecuteKeyed(ctx context.Context, key ledger.Key, req request.Request) (request.Answer, error) {
	last := verdict.New(verdict.MayHaveRun, verdict.CodeUnknown, "%s, which issued the key, is gone", key.Issuer)
	for _, address := range r.directory.Answering(key.Issuer) {
		answer, err := r.peers.ExecuteKeyed(ctx, address, key, req)
		if err == nil {
			return answer, nil
		}
		last = verdict.FromError(err)
		if last.Verdict != verdict.NotRun || last.Code != verdict.CodeUnavailable {
			return request.Answer{}, last
		}
	}
	if last.Verdict == verdict.NotRun {
		last = verdict.Wrap(last, verdict.MayHaveRun, last.Code, "the issuer of the key cannot be reached").WithRetryAfter(last.RetryAfter)
	}
	return request.Answer{}, last
}

// lenders passes loan requests to the owners of other cells. It implements cell.Lenders.
type lenders struct {
	directory directory
	self      ident.Instance
	local     peergrpc.Lender
	peers     *peergrpc.LoanClient
}

// Lend implements cell.Lenders.
func (l *lenders) Lend(ctx context.Context, lender ident.CellID, r admission.LoanRequest) (admission.LoanReply, error) {
	owner, address, ok := l.directory.Owner(lender)
	switch {
	case !ok:
		return admission.LoanReply{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "cell %d has no known owner", lender)
	case owner == l.self:
		return l.local.Lend(lender, r), nil
	default:
		return l.peers.Lend(ctx, address, lender, r)
	}
}

// peerHandler serves the requests of other relay hosts.
type peerHandler struct {
	local   localCells
	entry   keyedEntry
	ledgers *ledger.Set
	limits  ledger.Limits
	adopted func(issuer ident.Instance)
}

// keyedEntry runs keyed requests.
type keyedEntry interface {
	ExecuteKeyed(ctx context.Context, key ledger.Key, r request.Request) (request.Answer, error)
}

// Execute implements peergrpc.RequestHandler.
func (h *peerHandler) Execute(ctx context.Context, cell ident.CellID, r request.Request) (request.Answer, error) {
	return h.local.Execute(ctx, cell, r)
}

// ExecuteKeyed implements peergrpc.RequestHandler. A key of another instance is not passed on, so that hosts with
// different views of the membership cannot send it in a circle.
func (h *peerHandler) ExecuteKeyed(ctx context.Context, key ledger.Key, r request.Request) (request.Answer, error) {
	if _, ok := h.ledgers.ForIssuer(key.Issuer); !ok {
		return request.Answer{}, verdict.New(verdict.MayHaveRun, verdict.CodeUnknown, "this host does not answer for %s", key.Issuer)
	}
	return h.entry.ExecuteKeyed(ctx, key, r)
}

// AdoptLedger implements peergrpc.RequestHandler.
func (h *peerHandler) AdoptLedger(issuer ident.Instance, retention time.Duration, records []ledger.Record) error {
	l, err := ledger.Import(issuer, h.limits, retention, records)
	if err != nil {
		return err
	}
	if err := h.ledgers.Adopt(l); err != nil {
		return err
	}
	h.adopted(issuer)
	return nil
}
