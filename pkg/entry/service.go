package entry

import (
	"context"

	"lentilpin/pkg/peer/peerpb"
)

// service answers the calls of peers.
type service struct {
	peerpb.DRPCPeerUnimplementedServer
	e *Entry
}

// Exchange implements peerpb.DRPCPeerServer.
func (s service) Exchange(_ context.Context, in *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return s.e.table.HandleExchange(in), nil
}

// Tree implements peerpb.DRPCPeerServer.
func (s service) Tree(_ context.Context, in *peerpb.TreeRequest) (*peerpb.TreeResponse, error) {
	return s.e.table.HandleTree(in), nil
}

// Claim implements peerpb.DRPCPeerServer. An owner that was paused decides by
// its own clocks, so no confirmation of settings is needed here.
func (s service) Claim(_ context.Context, in *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	return s.e.owner.Claim(in), nil
}

// Settle implements peerpb.DRPCPeerServer.
func (s service) Settle(_ context.Context, in *peerpb.SettleRequest) (*peerpb.SettleResponse, error) {
	return s.e.owner.Settle(in), nil
}

// Handover implements peerpb.DRPCPeerServer.
func (s service) Handover(_ context.Context, in *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	return s.e.owner.Accept(in), nil
}
