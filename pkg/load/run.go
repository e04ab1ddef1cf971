package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/transport"
)

const (
	// maxStoredKeys limits the number of keys stored for later orders.
	maxStoredKeys = 4096

	// maxKeyAge is well below the default key lifetime of 10 minutes.
	maxKeyAge = time.Minute
)

// storedKey is an idempotency key that no order has used yet.
type storedKey struct {
	key        string
	receivedAt time.Time
}

// generator holds the state of a run.
type generator struct {
	options  Options
	caller   *caller
	keys     chan storedKey
	pending  sync.WaitGroup
	inflight atomic.Int64

	reads, orders, resends, direct *statsCollector

	mu        sync.Mutex
	outcomes  map[string][]Outcome
	sendDelay *statsCollector
}

// Run sends requests until the duration has passed or the context ends, waits for
// the outstanding responses and returns the result. It returns an error if the
// options are invalid.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	settings := o.poolSettings()
	g := &generator{
		options: o, keys: make(chan storedKey, maxStoredKeys), outcomes: map[string][]Outcome{},
		reads: newStatsCollector(), orders: newStatsCollector(), resends: newStatsCollector(), direct: newStatsCollector(), sendDelay: newStatsCollector(),
	}
	pool := transport.NewPool(transport.Options{Settings: func() *dynamic.Service { return settings }})
	defer pool.Close()
	g.caller = &caller{pool: pool, timeout: o.Timeout}
	start := time.Now()
	scheduled, notSent, noKey := g.schedule(ctx, start)
	elapsed := time.Since(start)
	g.pending.Wait()
	return g.result(elapsed, scheduled, notSent, noKey), nil
}

func (g *generator) result(elapsed time.Duration, scheduled, notSent, noKey int64) *Result {
	r := &Result{
		Seed: g.options.Seed, Rate: g.options.Rate, DurationMS: elapsed.Milliseconds(),
		Scheduled: scheduled, NotSent: notSent, NoKey: noKey, outcomes: g.outcomes,
		Reads: g.reads.result(), Orders: g.orders.result(), Resends: g.resends.result(), Direct: g.direct.result(),
		SendDelay: g.sendDelay.result().Latency,
	}
	if a, b := r.Reads.Latency, r.Direct.Latency; a.Count > 0 && b.Count > 0 {
		r.AddedLatency = &AddedLatency{P50: a.P50 - b.P50, P99: a.P99 - b.P99}
	}
	return r
}

type request struct {
	number       int64
	scheduledAt  time.Time
	isOrder      bool
	shouldResend bool
}

func (r *request) token(seed uint64) string { return fmt.Sprintf("s%d-%d", seed, r.number) }

// schedule sends the requests at their scheduled times. Arrivals are a Poisson
// process, as with many independent callers.
func (g *generator) schedule(ctx context.Context, start time.Time) (scheduled, notSent, noKey int64) {
	o := &g.options
	rng := rand.New(rand.NewPCG(o.Seed, o.Seed))
	scheduledAt := start
	for {
		scheduledAt = scheduledAt.Add(time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second)))
		if scheduledAt.Sub(start) > o.Duration || !sleepUntil(ctx, scheduledAt) {
			return scheduled, notSent, noKey
		}
		scheduled++
		r := request{number: scheduled, scheduledAt: scheduledAt}
		r.isOrder = len(o.Targets) > 0 && rng.IntN(o.Reads+o.Orders) >= o.Reads
		r.shouldResend = r.isOrder && rng.Float64() < o.ResendRatio
		if g.inflight.Load() >= int64(o.Inflight) {
			notSent++
			continue
		}
		var key string
		if r.isOrder {
			if key = g.takeKey(); key == "" {
				noKey++
				continue
			}
		}
		g.launch(ctx, r, key)
	}
}

// sleepUntil waits until a point in time. It returns false if the context ends
// first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// launch sends a request in its own goroutine. The end of ctx stops only the
// schedule; requests already sent are awaited until their timeout.
func (g *generator) launch(ctx context.Context, r request, key string) {
	ctx = context.WithoutCancel(ctx)
	g.inflight.Add(1)
	g.pending.Add(1)
	go func() {
		defer g.pending.Done()
		defer g.inflight.Add(-1)
		g.sendDelay.add(requestResult{outcome: Answered}, time.Since(r.scheduledAt))
		if r.isOrder {
			g.sendOrder(ctx, r, key)
		} else {
			g.sendRead(ctx, r)
		}
	}()
}

func (g *generator) sendRead(ctx context.Context, r request) {
	o := &g.options
	addresses, stats := o.Targets, g.reads
	if len(o.Direct) > 0 && (len(o.Targets) == 0 || r.number%2 == 0) {
		addresses, stats = o.Direct, g.direct
	}
	// Odd and even numbers go to different groups, so the number is halved to use
	// all addresses of each group in turn.
	address := addresses[int(r.number/2)%len(addresses)]
	result := g.caller.send(ctx, address, http.MethodGet, o.ReadPath, r.token(o.Seed), "")
	stats.add(result, time.Since(r.scheduledAt))
	g.storeKey(result.key)
}

// sendOrder sends an order, and sends it again to the next target if it is marked
// for resending.
func (g *generator) sendOrder(ctx context.Context, r request, key string) {
	o := &g.options
	token := r.token(o.Seed)
	send := func(stats *statsCollector, target int64) {
		result := g.caller.send(ctx, o.Targets[int(target)%len(o.Targets)], http.MethodPost, o.OrderPath, token, key)
		stats.add(result, time.Since(r.scheduledAt))
		if result.transportFailed {
			result.outcome = Unknown
		}
		g.mu.Lock()
		g.outcomes[token] = append(g.outcomes[token], result.outcome)
		g.mu.Unlock()
	}
	send(g.orders, r.number)
	if r.shouldResend {
		send(g.resends, r.number+1)
	}
}

// storeKey stores a key for a later order, or discards it if maxStoredKeys are
// stored.
func (g *generator) storeKey(key string) {
	if key == "" {
		return
	}
	select {
	case g.keys <- storedKey{key, time.Now()}:
	default:
	}
}

// takeKey removes and returns the oldest stored key younger than maxKeyAge, or
// returns the empty string if there is none. It discards older keys.
func (g *generator) takeKey() string {
	for {
		select {
		case k := <-g.keys:
			if time.Since(k.receivedAt) < maxKeyAge {
				return k.key
			}
		default:
			return ""
		}
	}
}
