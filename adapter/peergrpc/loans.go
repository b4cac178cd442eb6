package peergrpc

import (
	"context"
	"math"

	"google.golang.org/grpc"

	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
	"github.com/bulrushrelay/bulrushrelay/core/admission"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// LoanClient asks the owners of other cells to lend parts of their class limits.
type LoanClient struct {
	conns Conns
}

// NewLoanClient returns a client over the given connections.
func NewLoanClient(conns Conns) *LoanClient {
	return &LoanClient{conns: conns}
}

// Lend sends the loan request to the owner of the lending cell, which is the host at address.
func (c *LoanClient) Lend(ctx context.Context, address string, lender ident.CellID, r admission.LoanRequest) (admission.LoanReply, error) {
	conn, err := c.conns.Conn(address)
	if err != nil {
		return admission.LoanReply{}, err
	}
	reply, err := peerv1.NewLoansClient(conn).Lend(ctx, &peerv1.LendRequest{
		Lender:      uint32(lender),
		Borrower:    uint32(r.ID.Borrower),
		Epoch:       uint64(r.ID.Epoch),
		Sequence:    r.ID.Seq,
		Class:       string(r.Class),
		Rate:        r.Rate,
		Concurrency: int64(r.Concurrency),
	})
	if err != nil {
		return admission.LoanReply{}, err
	}
	return admission.LoanReply{
		ID:          r.ID,
		Class:       r.Class,
		Rate:        sanitizeRate(reply.GetRate()),
		Concurrency: int(reply.GetConcurrency()),
	}, nil
}

// sanitizeRate returns 0 for a rate that is NaN, infinite or negative. A NaN would turn the limit of the class into
// NaN, with which every comparison is false.
func sanitizeRate(rate float64) float64 {
	if math.IsNaN(rate) || math.IsInf(rate, 0) {
		return 0
	}
	return max(0, rate)
}

// Lender decides on loan requests to the cells of this host.
type Lender interface {
	Lend(lender ident.CellID, r admission.LoanRequest) admission.LoanReply
}

type loanServer struct {
	peerv1.UnimplementedLoansServer
	lender Lender
}

// RegisterLoans registers the Loans service of lender.
func RegisterLoans(server grpc.ServiceRegistrar, lender Lender) {
	peerv1.RegisterLoansServer(server, &loanServer{lender: lender})
}

// Lend implements peerv1.LoansServer.
func (s *loanServer) Lend(_ context.Context, m *peerv1.LendRequest) (*peerv1.LendReply, error) {
	reply := s.lender.Lend(ident.CellID(m.GetLender()), admission.LoanRequest{
		ID: admission.LoanID{
			Borrower: ident.CellID(m.GetBorrower()),
			Epoch:    ident.Epoch(m.GetEpoch()),
			Seq:      m.GetSequence(),
		},
		Class:       ident.ClassName(m.GetClass()),
		Rate:        sanitizeRate(m.GetRate()),
		Concurrency: int(m.GetConcurrency()),
	})
	return &peerv1.LendReply{Rate: reply.Rate, Concurrency: int64(reply.Concurrency)}, nil
}
