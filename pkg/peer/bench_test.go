package peer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/peer/peerpb"
)

// grantingService grants every claim.
type grantingService struct {
	peerpb.DRPCPeerUnimplementedServer
}

func (*grantingService) Claim(context.Context, *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	return &peerpb.ClaimResponse{State: peerpb.ClaimState_CLAIM_STATE_GRANTED, Grant: 1}, nil
}

// BenchmarkClaim measures one call over a loopback socket, including the client
// and the server.
func BenchmarkClaim(b *testing.B) {
	address, _, stop := startServer(b, &grantingService{}, testOptions(nil))
	defer stop()
	c := NewClient(testOptions(nil))
	defer c.Close()
	b.ReportAllocs()
	for b.Loop() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err := c.Claim(ctx, address, &peerpb.ClaimRequest{Key: "key", Fingerprint: make([]byte, 32), RequestId: "entry-1-7-1", GrantMs: 2000})
		cancel()
		require.NoError(b, err)
	}
}
