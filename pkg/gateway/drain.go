package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// drainState says whether the instance is stopping. Requests are still accepted then,
// because the platform's load balancer notices with a delay, but only if they end in time:
// at the end of the drain their connections are closed.
type drainState struct {
	end     atomic.Pointer[time.Time] // nil: the instance is not stopping
	endCtx  context.Context           // is done at the end
	endFunc context.CancelFunc
}

func newDrainState() drainState {
	ctx, cancel := context.WithCancel(context.Background())
	return drainState{endCtx: ctx, endFunc: cancel}
}

// StartDrain makes the gateway ask callers to close their connections and refuse
// requests whose deadline is after end.
func (g *Gateway) StartDrain(end time.Time) {
	g.drain.end.Store(&end)
	time.AfterFunc(time.Until(end), g.drain.endFunc)
}

// outlivesDrain reports whether the request may still run when the connections of callers
// are closed.
func (c *call) outlivesDrain() bool {
	end := c.g.drain.end.Load()
	return end != nil && c.deadline.After(*end)
}

const shuttingDownDetail = "this instance stops before the deadline of the request; another one may serve it"

// refuseInDrain is the refusal of a request that may outlive the instance.
func refuseInDrain() result {
	return notRunResult(http.StatusServiceUnavailable, reasonShuttingDown, shuttingDownDetail).withRetryAfter()
}

// announceDrain asks the caller, in the response that is about to be sent, to close its
// connection if the instance is stopping. It is called when the response begins: a long
// request may have been accepted before the stop.
func (c *call) announceDrain() {
	if c.g.drain.end.Load() != nil {
		c.w.Header().Set("Connection", "close")
	}
}
