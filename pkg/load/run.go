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
	// spareKeys bounds the keys that are kept for later orders.
	spareKeys = 4096

	// keyMaxAge is far below the default lifetime of a key of 10 minutes.
	keyMaxAge = time.Minute
)

type spareKey struct {
	key string
	at  time.Time
}

type generator struct {
	options Options
	caller  *caller
	keys    chan spareKey
	pending sync.WaitGroup
	flying  atomic.Int64

	reads, orders, resends, direct *tally

	mu   sync.Mutex
	told map[string][]Outcome
	late *tally
}

// Run sends requests until the duration has passed or the context ends, waits
// for the last responses and returns what was counted.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	settings := o.connections()
	g := &generator{
		options: o, keys: make(chan spareKey, spareKeys), told: map[string][]Outcome{},
		reads: newTally(), orders: newTally(), resends: newTally(), direct: newTally(), late: newTally(),
	}
	pool := transport.NewPool(transport.Options{Settings: func() *dynamic.Service { return settings }})
	defer pool.Close()
	g.caller = &caller{pool: pool, timeout: o.Timeout}
	start := time.Now()
	scheduled, notSent, noKey := g.schedule(ctx, start)
	took := time.Since(start)
	g.pending.Wait()
	return g.result(took, scheduled, notSent, noKey), nil
}

func (g *generator) result(took time.Duration, scheduled, notSent, noKey int64) *Result {
	r := &Result{
		Seed: g.options.Seed, Rate: g.options.Rate, DurationMS: took.Milliseconds(),
		Scheduled: scheduled, NotSent: notSent, NoKey: noKey, told: g.told,
		Reads: g.reads.result(), Orders: g.orders.result(), Resends: g.resends.result(), Direct: g.direct.result(),
		Late: g.late.result().Latency,
	}
	if a, b := r.Reads.Latency, r.Direct.Latency; a.Count > 0 && b.Count > 0 {
		r.Added = &Added{P50: a.P50 - b.P50, P99: a.P99 - b.P99}
	}
	return r
}

// request is one planned request.
type request struct {
	number  int64
	at      time.Time
	isOrder bool
	resend  bool
}

func (r *request) token(seed uint64) string { return fmt.Sprintf("s%d-%d", seed, r.number) }

// schedule sends the requests at their times: a Poisson process, as many
// independent callers make one.
func (g *generator) schedule(ctx context.Context, start time.Time) (scheduled, notSent, noKey int64) {
	o := &g.options
	random := rand.New(rand.NewPCG(o.Seed, o.Seed))
	at := start
	for {
		at = at.Add(time.Duration(random.ExpFloat64() / o.Rate * float64(time.Second)))
		if at.Sub(start) > o.Duration || !sleepUntil(ctx, at) {
			return scheduled, notSent, noKey
		}
		scheduled++
		r := request{number: scheduled, at: at}
		r.isOrder = len(o.Targets) > 0 && random.IntN(o.Reads+o.Orders) >= o.Reads
		r.resend = r.isOrder && random.Float64() < o.Resend
		if g.flying.Load() >= int64(o.Inflight) {
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

// sleepUntil returns false if the context ends first.
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

// launch runs a request in its own goroutine. The end of ctx stops the schedule
// only; what was sent is waited for, bounded by the timeout.
func (g *generator) launch(ctx context.Context, r request, key string) {
	ctx = context.WithoutCancel(ctx)
	g.flying.Add(1)
	g.pending.Add(1)
	go func() {
		defer g.pending.Done()
		defer g.flying.Add(-1)
		g.late.add(reply{outcome: Answered}, time.Since(r.at))
		if r.isOrder {
			g.order(ctx, r, key)
		} else {
			g.read(ctx, r)
		}
	}()
}

func (g *generator) read(ctx context.Context, r request) {
	o := &g.options
	addresses, t := o.Targets, g.reads
	if len(o.Direct) > 0 && (len(o.Targets) == 0 || r.number%2 == 0) {
		addresses, t = o.Direct, g.direct
	}
	// Every second read is a direct one, so the halved number reaches all
	// addresses of both groups in turn.
	address := addresses[int(r.number/2)%len(addresses)]
	out := g.caller.send(ctx, address, http.MethodGet, o.ReadPath, r.token(o.Seed), "")
	t.add(out, time.Since(r.at))
	g.keepKey(out.key)
}

func (g *generator) order(ctx context.Context, r request, key string) {
	o := &g.options
	token := r.token(o.Seed)
	send := func(t *tally, target int64) {
		out := g.caller.send(ctx, o.Targets[int(target)%len(o.Targets)], http.MethodPost, o.OrderPath, token, key)
		t.add(out, time.Since(r.at))
		if out.local {
			out.outcome = Unknown
		}
		g.mu.Lock()
		g.told[token] = append(g.told[token], out.outcome)
		g.mu.Unlock()
	}
	send(g.orders, r.number)
	if r.resend {
		send(g.resends, r.number+1)
	}
}

func (g *generator) keepKey(key string) {
	if key == "" {
		return
	}
	select {
	case g.keys <- spareKey{key, time.Now()}:
	default:
	}
}

// takeKey returns the oldest spare key that is young enough, or nothing.
func (g *generator) takeKey() string {
	for {
		select {
		case k := <-g.keys:
			if time.Since(k.at) < keyMaxAge {
				return k.key
			}
		default:
			return ""
		}
	}
}
