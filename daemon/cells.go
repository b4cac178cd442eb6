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

// cellDirectory looks up the owners and loads of cells and the hosts that hold a ledger.
type cellDirectory interface {
	// Owner returns the owner of a cell and its peer address, and false if none is known.
	Owner(cell ident.CellID) (ident.Instance, string, bool)
	// LedgerHolders returns the peer addresses of the hosts that may hold the ledger of an instance, in the order to
	// try: the instance itself unless it has left, then the hosts that adopted its ledger.
	LedgerHolders(issuer ident.Instance) []string
	// Loads returns, for every cell, the load that its owner gossiped last.
	Loads() []routing.CellLoad
}

// localCells runs requests in the cells that this host owns.
type localCells interface {
	Execute(ctx context.Context, cell ident.CellID, r request.Request) (request.Answer, error)
}

// cellRouter forwards requests to the owners of cells and to the holders of ledgers. It implements entry.Cells and
// entry.Issuers.
type cellRouter struct {
	self       ident.Instance
	dataCentre ident.DataCentre
	cellMap    cellmap.Map
	directory  cellDirectory
	local      localCells
	peers      *peergrpc.RequestClient

	// mu guards random, which is not safe for concurrent use.
	mu     sync.Mutex
	random *rand.Rand
}

// Choose implements entry.Cells. The cells that it returns are distinct, so that a retry goes to another cell.
func (r *cellRouter) Choose(_ ident.ClassName, n int) []ident.CellID {
	loads := r.directory.Loads()
	var out []ident.CellID
	for len(out) < n {
		r.mu.Lock()
		cell, ok := routing.ChooseCell(r.random, r.dataCentre, loads)
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
func (r *cellRouter) Local(cell ident.CellID) bool { return r.cellMap.DataCentre(cell) == r.dataCentre }

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

// ExecuteKeyed implements entry.Issuers. It tries the next host only if the previous one was not reached or has
// closed its ledger: a host adopts a ledger only after its issuer closed it, so that no two hosts accept the same
// key. If no host is reached, only this attempt is known not to have run; an earlier one may have.
func (r *cellRouter) ExecuteKeyed(ctx context.Context, key ledger.Key, req request.Request) (request.Answer, error) {
	lastErr := verdict.New(verdict.MayHaveRun, verdict.CodeUnknown, "%s, which issued the key, is gone", key.Issuer)
	for _, address := range r.directory.LedgerHolders(key.Issuer) {
		answer, err := r.peers.ExecuteKeyed(ctx, address, key, req)
		if err == nil {
			return answer, nil
		}
		lastErr = verdict.FromError(err)
		if lastErr.Verdict != verdict.NotRun || lastErr.Code != verdict.CodeUnavailable {
			return request.Answer{}, lastErr
		}
	}
	if lastErr.Verdict == verdict.NotRun {
		lastErr = verdict.Wrap(lastErr, verdict.MayHaveRun, lastErr.Code, "the issuer of the key cannot be reached").WithRetryAfter(lastErr.RetryAfter)
	}
	return request.Answer{}, lastErr
}

// loanRouter sends loan requests to the owners of other cells. It implements cell.Lenders.
type loanRouter struct {
	directory cellDirectory
	self      ident.Instance
	local     peergrpc.Lender
	peers     *peergrpc.LoanClient
}

// Lend implements cell.Lenders.
func (l *loanRouter) Lend(ctx context.Context, lender ident.CellID, r admission.LoanRequest) (admission.LoanReply, error) {
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

// peerHandler serves the requests of other relay hosts. It implements peergrpc.RequestHandler.
type peerHandler struct {
	local     localCells
	entry     keyedExecutor
	ledgers   *ledger.Set
	limits    ledger.Limits
	onAdopted func(issuer ident.Instance)
}

// keyedExecutor runs keyed requests.
type keyedExecutor interface {
	ExecuteKeyed(ctx context.Context, key ledger.Key, r request.Request) (request.Answer, error)
}

// Execute implements peergrpc.RequestHandler.
func (h *peerHandler) Execute(ctx context.Context, cell ident.CellID, r request.Request) (request.Answer, error) {
	return h.local.Execute(ctx, cell, r)
}

// ExecuteKeyed implements peergrpc.RequestHandler. A request is not forwarded if this host does not hold the ledger
// of its key, so that hosts with different views of the membership cannot forward it in a loop.
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
	h.onAdopted(issuer)
	return nil
}
