package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/feed"
	"lentilpin/pkg/peer/peerpb"
)

// errChangesState says that a peer answered with a state that this version does
// not know.
var errChangesState = errors.New("unknown state of a reply")

// changes reads changes from peers. It implements feed.Peers.
type changes struct{ e *Entry }

// Changes implements feed.Peers.
func (c changes) Changes(ctx context.Context, address string, after uint64, wait time.Duration) ([]feed.Change, uint64, error) {
	out, err := c.e.client.Changes(ctx, address, &peerpb.ChangesRequest{After: after, WaitMs: uint32(wait.Milliseconds())})
	if err != nil {
		return nil, 0, err
	}
	switch out.State {
	case peerpb.ChangesState_CHANGES_STATE_OK:
	case peerpb.ChangesState_CHANGES_STATE_NOT_READER:
		return nil, 0, feed.ErrNotReader
	case peerpb.ChangesState_CHANGES_STATE_HISTORY_LOST:
		return nil, 0, feed.ErrHistoryLost
	default:
		return nil, 0, errors.Wrap(errChangesState, out.State.String())
	}
	list := make([]feed.Change, len(out.Changes))
	for i, one := range out.Changes {
		list[i] = feed.Change{Key: one.Key, Value: one.Value, Revision: one.Revision, Deleted: one.Deleted}
	}
	return list, out.Revision, nil
}

// Changes implements peerpb.DRPCPeerServer.
func (s service) Changes(ctx context.Context, in *peerpb.ChangesRequest) (*peerpb.ChangesResponse, error) {
	if s.e.feed == nil {
		return &peerpb.ChangesResponse{State: peerpb.ChangesState_CHANGES_STATE_NOT_READER}, nil
	}
	list, revision, err := s.e.feed.Serve(ctx, in.After, time.Duration(in.WaitMs)*time.Millisecond)
	switch {
	case errors.Is(err, feed.ErrNotReader):
		return &peerpb.ChangesResponse{State: peerpb.ChangesState_CHANGES_STATE_NOT_READER}, nil
	case errors.Is(err, feed.ErrHistoryLost):
		return &peerpb.ChangesResponse{State: peerpb.ChangesState_CHANGES_STATE_HISTORY_LOST}, nil
	case err != nil:
		return nil, err
	}
	out := &peerpb.ChangesResponse{State: peerpb.ChangesState_CHANGES_STATE_OK, Revision: revision}
	for _, c := range list {
		out.Changes = append(out.Changes, &peerpb.Change{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted})
	}
	return out, nil
}
