package peergrpc

import (
	"context"
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/relay/contact"
)

// maxWorkerNameBytes bounds the id and the address of a worker in a question of a peer.
const maxWorkerNameBytes = 512

// ContactClient asks other hosts which workers they reach.
type ContactClient struct {
	conns Conns
}

var _ contact.Peers = (*ContactClient)(nil)

// NewContactClient returns a client over the given connections.
func NewContactClient(conns Conns) *ContactClient {
	return &ContactClient{conns: conns}
}

// Reach returns which of the workers the host at address reaches. A host of a build without the call returns an error.
func (c *ContactClient) Reach(ctx context.Context, address string, cell ident.CellID, workers []lifecycle.Member) ([]ident.WorkerID, error) {
	conn, err := c.conns.Conn(address)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", address, err)
	}
	req := &peerv1.ReachRequest{Cell: uint32(cell)}
	for _, m := range workers {
		req.Workers = append(req.Workers, &peerv1.ReachWorker{Id: string(m.ID), Address: m.Address})
	}
	reply, err := peerv1.NewWorkerContactClient(conn).Reach(ctx, req)
	if err != nil {
		return nil, fmt.Errorf("ask %s which workers it reaches: %w", address, err)
	}
	reached := make([]ident.WorkerID, 0, len(reply.GetReached()))
	for _, id := range reply.GetReached() {
		reached = append(reached, ident.WorkerID(id))
	}
	return reached, nil
}

// ContactHandler answers which workers this host reaches. *contact.Service implements it.
type ContactHandler interface {
	Reach(ctx context.Context, workers []lifecycle.Member) []ident.WorkerID
}

type contactServer struct {
	peerv1.UnimplementedWorkerContactServer
	handler ContactHandler
}

// RegisterContact registers the WorkerContact service with h as its handler.
func RegisterContact(r grpc.ServiceRegistrar, h ContactHandler) {
	peerv1.RegisterWorkerContactServer(r, &contactServer{handler: h})
}

// Reach implements peerv1.WorkerContactServer.
func (s *contactServer) Reach(ctx context.Context, req *peerv1.ReachRequest) (*peerv1.ReachReply, error) {
	if n := len(req.GetWorkers()); n > contact.MaxWorkersAsked {
		return nil, status.Errorf(codes.InvalidArgument, "question for %d workers, at most %d are allowed", n, contact.MaxWorkersAsked)
	}
	workers := make([]lifecycle.Member, 0, len(req.GetWorkers()))
	for _, w := range req.GetWorkers() {
		if w.GetId() == "" || w.GetAddress() == "" || len(w.GetId()) > maxWorkerNameBytes || len(w.GetAddress()) > maxWorkerNameBytes {
			return nil, status.Errorf(codes.InvalidArgument,
				"worker with an id of %d and an address of %d bytes, 1 to %d are allowed", len(w.GetId()), len(w.GetAddress()), maxWorkerNameBytes)
		}
		workers = append(workers, lifecycle.Member{ID: ident.WorkerID(w.GetId()), Address: w.GetAddress()})
	}
	reply := &peerv1.ReachReply{}
	for _, id := range s.handler.Reach(ctx, workers) {
		reply.Reached = append(reply.Reached, string(id))
	}
	return reply, nil
}
