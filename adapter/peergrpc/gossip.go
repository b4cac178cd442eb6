// Package peergrpc connects relay hosts with each other over gRPC.
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

// GossipClient implements cluster.Transport over the connections to other relay hosts.
type GossipClient struct {
	self  ident.Instance
	conns Conns
}

var _ cluster.Transport = (*GossipClient)(nil)

// NewGossipClient returns the client of the instance self.
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

// Exchange sends membership state and returns the member's with its report.
func (c *GossipClient) Exchange(ctx context.Context, address string, r membership.Request) (membership.Reply, ownership.Report, error) {
	client, err := c.client(address)
	if err != nil {
		return membership.Reply{}, ownership.Report{}, err
	}
	resp, err := client.Exchange(ctx, encodeRequest(r))
	if err != nil {
		return membership.Reply{}, ownership.Report{}, fmt.Errorf("exchange with %s: %w", address, err)
	}
	report := decodeReport(resp.GetReport())
	if report.From.Host == "" {
		return membership.Reply{}, ownership.Report{}, fmt.Errorf("exchange with %s: answer without a report", address)
	}
	return decodeReply(resp), report, nil
}

// Probe checks that a process answers, or asks it to probe the target.
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

// Fence asks the process at the address to give way in a cell.
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

// GossipHandler answers the calls of other members; *cluster.Service implements it.
type GossipHandler interface {
	HandleExchange(r membership.Request) (membership.Reply, ownership.Report)
	HandleProbe(ctx context.Context, target ident.Instance, address string) (at ident.Instance, reached bool)
	HandleFence(cell ident.CellID, epoch ident.Epoch) cluster.FenceAnswer
}

// GossipServer serves the calls of other members.
type GossipServer struct {
	peerv1.UnimplementedGossipServer

	handler GossipHandler
}

// RegisterGossip serves the handler on r.
func RegisterGossip(r grpc.ServiceRegistrar, h GossipHandler) {
	peerv1.RegisterGossipServer(r, &GossipServer{handler: h})
}

// Exchange answers an exchange.
func (s *GossipServer) Exchange(_ context.Context, req *peerv1.ExchangeRequest) (*peerv1.ExchangeReply, error) {
	request, err := decodeRequest(req)
	if err != nil {
		return nil, err
	}
	reply, report := s.handler.HandleExchange(request)
	return encodeReply(reply, report), nil
}

// Probe answers a probe.
func (s *GossipServer) Probe(ctx context.Context, req *peerv1.ProbeRequest) (*peerv1.ProbeReply, error) {
	at, reached := s.handler.HandleProbe(ctx, decodeInstance(req.GetTarget()), req.GetTargetAddress())
	return &peerv1.ProbeReply{From: encodeInstance(at), Reached: reached}, nil
}

// Fence gives way in a cell.
func (s *GossipServer) Fence(_ context.Context, req *peerv1.FenceRequest) (*peerv1.FenceReply, error) {
	answer := s.handler.HandleFence(ident.CellID(req.GetCell()), ident.Epoch(req.GetEpoch()))
	return &peerv1.FenceReply{
		From: encodeInstance(answer.From), Stopped: answer.Stopped, BusyMs: answer.BusyFor.Milliseconds(),
	}, nil
}
