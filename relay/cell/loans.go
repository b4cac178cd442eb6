package cell

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/admission"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// loanInterval is how often a cell asks for loans. It is a quarter of the loan period, so that a busy cell can
// replace loans before they end.
const loanInterval = admission.LoanPeriod / 4

// Lend answers a loan request of another cell with capacity that this cell does not use.
func (s *Service) Lend(lender ident.CellID, r admission.LoanRequest) admission.LoanReply {
	reply := admission.LoanReply{ID: r.ID, Class: r.Class}
	sh, err := s.shard(lender)
	if err != nil {
		return reply
	}
	now := s.options.Clock.Now()
	sh.update(now, func() []*admission.Ticket {
		if !sh.draining {
			reply = sh.admission.Lend(now, r)
		}
		return nil
	})
	return reply
}

// RunLoans asks for loans for the cells of this host until ctx ends. If there is only one cell, it has the whole
// limits and needs no loans.
func (s *Service) RunLoans(ctx context.Context, lenders Lenders) {
	if len(s.shards) < 2 {
		return
	}
	rng := rand.New(rand.NewPCG(s.options.Seed, 1))
	ticker := time.NewTicker(loanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.requestLoans(ctx, lenders, rng)
		}
	}
}

// requestLoans sends the loan requests of all cells, each to another cell chosen at random, and waits for the
// replies.
func (s *Service) requestLoans(ctx context.Context, lenders Lenders, rng *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, loanInterval)
	defer cancel()
	var sent sync.WaitGroup
	for i, sh := range s.shards {
		var requests []admission.LoanRequest
		now := s.options.Clock.Now()
		sh.update(now, func() []*admission.Ticket {
			requests = sh.admission.RequestLoans(now)
			return nil
		})
		lender := ident.CellID((i + 1 + rng.IntN(len(s.shards)-1)) % len(s.shards))
		for _, r := range requests {
			sent.Go(func() { s.requestLoan(ctx, lenders, sh, lender, r) })
		}
	}
	sent.Wait()
}

func (s *Service) requestLoan(ctx context.Context, lenders Lenders, sh *shard, lender ident.CellID, r admission.LoanRequest) {
	reply, err := lenders.Lend(ctx, lender, r)
	if err != nil {
		return
	}
	now := s.options.Clock.Now()
	sh.update(now, func() []*admission.Ticket {
		sh.admission.AcceptLoan(now, reply)
		return nil
	})
}
