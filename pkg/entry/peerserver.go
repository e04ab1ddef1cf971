package entry

import (
	"context"

	"lentilpin/pkg/peer/peerpb"
)

// peerServer handles RPCs from peers. It implements peerpb.DRPCPeerServer.
type peerServer struct {
	peerpb.DRPCPeerUnimplementedServer
	e *Entry
}

// Exchange implements peerpb.DRPCPeerServer.
func (s peerServer) Exchange(_ context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return s.e.memberTable.HandleExchange(req), nil
}

// Tree implements peerpb.DRPCPeerServer.
func (s peerServer) Tree(_ context.Context, req *peerpb.TreeRequest) (*peerpb.TreeResponse, error) {
	return s.e.memberTable.HandleTree(req), nil
}

// Permit implements peerpb.DRPCPeerServer.
func (s peerServer) Permit(_ context.Context, req *peerpb.PermitRequest) (*peerpb.PermitResponse, error) {
	return s.e.permitIssuer.Issue(req), nil
}

// Claim implements peerpb.DRPCPeerServer. After a pause of the process the owner
// decides by its own clocks, so the settings need not be confirmed first.
func (s peerServer) Claim(_ context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	return s.e.ledgerOwner.Claim(req), nil
}

// Settle implements peerpb.DRPCPeerServer.
func (s peerServer) Settle(_ context.Context, req *peerpb.SettleRequest) (*peerpb.SettleResponse, error) {
	return s.e.ledgerOwner.Settle(req), nil
}

// Handover implements peerpb.DRPCPeerServer.
func (s peerServer) Handover(_ context.Context, req *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	return s.e.ledgerOwner.AcceptChunk(req), nil
}
