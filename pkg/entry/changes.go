package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/feed"
	"lentilpin/pkg/peer/peerpb"
)

// errUnknownChangesState is returned if a peer answers with a state that this
// version does not know.
var errUnknownChangesState = errors.New("unknown state in the response to Changes")

// changesClient reads store changes from peers. It implements feed.PeerClient.
type changesClient struct{ e *Entry }

// Changes implements feed.PeerClient.
func (c changesClient) Changes(ctx context.Context, address string, after feed.Position, wait time.Duration) ([]feed.Change, feed.Position, error) {
	resp, err := c.e.peerClient.Changes(ctx, address, &peerpb.ChangesRequest{After: after.Revision, Era: after.Era, WaitMs: uint32(wait.Milliseconds())})
	if err != nil {
		return nil, feed.Position{}, err
	}
	switch resp.State {
	case peerpb.ChangesState_CHANGES_STATE_OK:
	case peerpb.ChangesState_CHANGES_STATE_NOT_READER:
		return nil, feed.Position{}, feed.ErrNotReader
	case peerpb.ChangesState_CHANGES_STATE_HISTORY_LOST:
		return nil, feed.Position{}, feed.ErrHistoryLost
	default:
		return nil, feed.Position{}, errors.Wrap(errUnknownChangesState, resp.State.String())
	}
	converted := make([]feed.Change, len(resp.Changes))
	for i, change := range resp.Changes {
		converted[i] = feed.Change{
			Key: change.Key, Value: change.Value, Revision: change.Revision, Deleted: change.Deleted, TreeVersion: change.TreeVersion,
		}
	}
	return converted, feed.Position{Era: resp.Era, Revision: resp.Revision}, nil
}

// Changes implements peerpb.DRPCPeerServer.
func (s peerServer) Changes(ctx context.Context, req *peerpb.ChangesRequest) (*peerpb.ChangesResponse, error) {
	if s.e.feed == nil {
		return &peerpb.ChangesResponse{State: peerpb.ChangesState_CHANGES_STATE_NOT_READER}, nil
	}
	changed, at, err := s.e.feed.Serve(ctx, feed.Position{Era: req.Era, Revision: req.After}, time.Duration(req.WaitMs)*time.Millisecond)
	switch {
	case errors.Is(err, feed.ErrNotReader):
		return &peerpb.ChangesResponse{State: peerpb.ChangesState_CHANGES_STATE_NOT_READER}, nil
	case errors.Is(err, feed.ErrHistoryLost):
		return &peerpb.ChangesResponse{State: peerpb.ChangesState_CHANGES_STATE_HISTORY_LOST}, nil
	case err != nil:
		return nil, err
	}
	resp := &peerpb.ChangesResponse{State: peerpb.ChangesState_CHANGES_STATE_OK, Revision: at.Revision, Era: at.Era}
	for _, c := range changed {
		resp.Changes = append(resp.Changes, &peerpb.Change{
			Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted, TreeVersion: c.TreeVersion,
		})
	}
	return resp, nil
}
