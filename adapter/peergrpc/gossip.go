package peergrpc

import (
	"context"
	"fmt"

	"google.golang.org/grpc"

	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/membership"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/relay/cluster"
)

// GossipClient implements cluster.Transport over gRPC connections to other relay hosts.
type GossipClient struct {
	self  ident.Instance
	conns Conns
}

var _ cluster.Transport = (*GossipClient)(nil)

// NewGossipClient returns a client that calls other hosts on behalf of the instance self.
func NewGossipClient(self ident.Instance, conns Conns) *GossipClient {
	return &GossipClient{self: self, conns: conns}
}

func (c *GossipClient) client(address string) (peerv1.GossipClient, error) {
	conn, err := c.conns.Conn(address)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", address, err)
	}
	return peerv1.NewGossipClient(conn), nil
}

// Exchange sends membership state to the member at address and returns its membership state and ownership report.
func (c *GossipClient) Exchange(ctx context.Context, address string, r membership.Request) (membership.Reply, ownership.Report, error) {
	client, err := c.client(address)
	if err != nil {
		return membership.Reply{}, ownership.Report{}, err
	}
	resp, err := client.Exchange(ctx, encodeExchangeRequest(r))
	if err != nil {
		return membership.Reply{}, ownership.Report{}, fmt.Errorf("exchange with %s: %w", address, err)
	}
	report := decodeReport(resp.GetReport())
	if report.From.Host == "" {
		return membership.Reply{}, ownership.Report{}, fmt.Errorf("exchange with %s: reply has no report", address)
	}
	return decodeExchangeReply(resp), report, nil
}

// Probe checks that the process at address answers. If target is set, it asks that process to probe the target.
func (c *GossipClient) Probe(ctx context.Context, address string, target ident.Instance, targetAddress string) (ident.Instance, bool, error) {
	client, err := c.client(address)
	if err != nil {
		return ident.Instance{}, false, err
	}
	req := &peerv1.ProbeRequest{}
	if target != (ident.Instance{}) {
		req.Target, req.TargetAddress = encodeInstance(target), targetAddress
	}
	resp, err := client.Probe(ctx, req)
	if err != nil {
		return ident.Instance{}, false, fmt.Errorf("probe of %s: %w", address, err)
	}
	return decodeInstance(resp.GetFrom()), resp.GetReached(), nil
}

// Fence asks the process at address to stop acting for a cell, in favour of the owner with the given epoch.
func (c *GossipClient) Fence(ctx context.Context, address string, cell ident.CellID, epoch ident.Epoch) (cluster.FenceAnswer, error) {
	client, err := c.client(address)
	if err != nil {
		return cluster.FenceAnswer{}, err
	}
	req := &peerv1.FenceRequest{From: encodeInstance(c.self), Cell: uint32(cell), Epoch: uint64(epoch)}
	resp, err := client.Fence(ctx, req)
	if err != nil {
		return cluster.FenceAnswer{}, fmt.Errorf("fence of %s: %w", address, err)
	}
	busy := durationFromMs(resp.GetBusyMs())
	return cluster.FenceAnswer{From: decodeInstance(resp.GetFrom()), Stopped: resp.GetStopped(), BusyFor: busy}, nil
}

// GossipHandler handles the gossip calls of other members. *cluster.Service implements it.
type GossipHandler interface {
	HandleExchange(r membership.Request) (membership.Reply, ownership.Report)
	HandleProbe(ctx context.Context, target ident.Instance, address string) (at ident.Instance, reached bool)
	HandleFence(cell ident.CellID, epoch ident.Epoch) cluster.FenceAnswer
}

// GossipServer implements the Gossip service for other members.
type GossipServer struct {
	peerv1.UnimplementedGossipServer

	handler GossipHandler
}

// RegisterGossip registers the Gossip service with h as its handler.
func RegisterGossip(r grpc.ServiceRegistrar, h GossipHandler) {
	peerv1.RegisterGossipServer(r, &GossipServer{handler: h})
}

// Exchange implements peerv1.GossipServer.
func (s *GossipServer) Exchange(_ context.Context, req *peerv1.ExchangeRequest) (*peerv1.ExchangeReply, error) {
	request, err := decodeExchangeRequest(req)
	if err != nil {
		return nil, err
	}
	reply, report := s.handler.HandleExchange(request)
	return encodeExchangeReply(reply, report), nil
}

// Probe implements peerv1.GossipServer.
func (s *GossipServer) Probe(ctx context.Context, req *peerv1.ProbeRequest) (*peerv1.ProbeReply, error) {
	at, reached := s.handler.HandleProbe(ctx, decodeInstance(req.GetTarget()), req.GetTargetAddress())
	return &peerv1.ProbeReply{From: encodeInstance(at), Reached: reached}, nil
}

// Fence implements peerv1.GossipServer.
func (s *GossipServer) Fence(_ context.Context, req *peerv1.FenceRequest) (*peerv1.FenceReply, error) {
	answer := s.handler.HandleFence(ident.CellID(req.GetCell()), ident.Epoch(req.GetEpoch()))
	return &peerv1.FenceReply{
		From: encodeInstance(answer.From), Stopped: answer.Stopped, BusyMs: answer.BusyFor.Milliseconds(),
	}, nil
}
