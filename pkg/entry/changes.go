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
func (c changesClient) Changes(ctx context.Context, address string, request feed.PeerRequest) (feed.PeerReply, error) {
	resp, err := c.e.peerClient.Changes(ctx, address, &peerpb.ChangesRequest{
		After: request.After.Revision, Era: request.After.Era, UnknownTree: request.UnknownTree, WaitMs: uint32(request.Wait.Milliseconds()),
		AcceptsCompressed: true, UnknownEvacuation: request.UnknownEvacuation,
	})
	if err != nil {
		return feed.PeerReply{}, err
	}
	switch resp.State {
	case peerpb.ChangesState_CHANGES_STATE_OK:
	case peerpb.ChangesState_CHANGES_STATE_NOT_READER:
		return feed.PeerReply{}, feed.ErrNotReader
	case peerpb.ChangesState_CHANGES_STATE_HISTORY_LOST:
		return feed.PeerReply{}, feed.ErrHistoryLost
	default:
		return feed.PeerReply{}, errors.Wrap(errUnknownChangesState, resp.State.String())
	}
	if len(resp.CompressedChanges) > 0 {
		if resp.Changes, err = decompressChanges(resp.CompressedChanges); err != nil {
			return feed.PeerReply{}, err
		}
	}
	reply := feed.PeerReply{At: feed.Position{Era: resp.Era, Revision: resp.Revision}}
	if reply.TreesAt = reply.At; resp.TreesRevision > 0 {
		reply.TreesAt.Revision = resp.TreesRevision
	}
	for _, change := range resp.Changes {
		reply.Changes = append(reply.Changes, feed.Change{
			Key: change.Key, Value: change.Value, Revision: change.Revision, Deleted: change.Deleted, TreeVersion: change.TreeVersion,
		})
	}
	return reply, nil
}

// Changes implements peerpb.DRPCPeerServer.
func (s peerServer) Changes(ctx context.Context, req *peerpb.ChangesRequest) (*peerpb.ChangesResponse, error) {
	if s.e.feed == nil {
		return &peerpb.ChangesResponse{State: peerpb.ChangesState_CHANGES_STATE_NOT_READER}, nil
	}
	request := feed.PeerRequest{
		After: feed.Position{Era: req.Era, Revision: req.After}, UnknownTree: req.UnknownTree,
		UnknownEvacuation: req.UnknownEvacuation, Wait: time.Duration(req.WaitMs) * time.Millisecond,
	}
	if request.After == (feed.Position{}) && req.AcceptsCompressed {
		return s.e.fullState.response(time.Now(), func() (*peerpb.ChangesResponse, error) { return s.changes(ctx, request) })
	}
	return s.changes(ctx, request)
}

// changes returns the response to a request of a peer, uncompressed.
func (s peerServer) changes(ctx context.Context, request feed.PeerRequest) (*peerpb.ChangesResponse, error) {
	reply, err := s.e.feed.Serve(ctx, request)
	switch {
	case errors.Is(err, feed.ErrNotReader):
		return &peerpb.ChangesResponse{State: peerpb.ChangesState_CHANGES_STATE_NOT_READER}, nil
	case errors.Is(err, feed.ErrHistoryLost):
		return &peerpb.ChangesResponse{State: peerpb.ChangesState_CHANGES_STATE_HISTORY_LOST}, nil
	case err != nil:
		return nil, err
	}
	resp := &peerpb.ChangesResponse{State: peerpb.ChangesState_CHANGES_STATE_OK, Revision: reply.At.Revision, Era: reply.At.Era, TreesRevision: reply.TreesAt.Revision}
	for _, c := range reply.Changes {
		resp.Changes = append(resp.Changes, &peerpb.Change{
			Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted, TreeVersion: c.TreeVersion,
		})
	}
	return resp, nil
}
