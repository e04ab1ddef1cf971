package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/platform"
	"lentilpin/standin/pipe"
)

const (
	warmupPerSecond = 6.3
	warmupSpan      = 4 * time.Second
	// maxColdRequests is the number of requests that a cold backend server may get in one
	// second: warmupPerSecond * 1.5 + 8.
	maxColdRequests = 17
)

// coldTree adds the limit on requests to cold backend servers to a settings tree.
func coldTree(tree string) string {
	return strings.Replace(tree, `"outlier"`, fmt.Sprintf(`"warmup": {"perSecond": %g}, "headers": {"warmup": %q}, "outlier"`, warmupPerSecond, pipe.WarmupHeader), 1)
}

// list gives all gateways an instance list that states the remaining warm-up of the
// backend servers with the addresses in cold, and omits them if it is 0. The others are in
// the given failure domain.
func (f *fixture) list(cold []string, left time.Duration, others string) {
	var list []platform.Instance
	for i := range f.backends {
		instance := platform.Instance{Kind: platform.KindBackend, Service: "shop", Address: i, State: platform.StateLive}
		switch isCold := slices.Contains(cold, i); {
		case isCold && left == 0:
			continue
		case isCold:
			instance.WarmupRemaining = left
		default:
			instance.FailureDomain = others
		}
		list = append(list, instance)
	}
	for _, g := range f.gateways {
		g.UpdateInstances(list)
	}
}

// warmupCase is a fleet whose first backend servers turn cold.
type warmupCase struct {
	desc            string
	instances, cold int // number of backend servers that turn cold, of 6
	interval        time.Duration
	unnoticed       bool // they were in use, and the instance list states it a second later
	served          bool // all requests are served: the warm ones have room
	full            bool // the demand is above the limits of all
	issuersDie      bool
	newIssuers      bool   // other instances issue the permits from a second after the start
	others          string // failure domain of the others; empty: the own one
}

// requireWarmupLimitHolds checks that no cold backend server gets more than
// maxColdRequests in any second, and that the limit is used where demand is high.
func requireWarmupLimitHolds(t *testing.T, tree string, tt warmupCase) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureWith(t, tt.instances, 6, coldTree(tree))
		defer f.close()
		var cold []string
		for i := range tt.cold {
			cold = append(cold, fmt.Sprintf("127.0.0.1:%d", 9000+i))
		}
		if !tt.unnoticed {
			f.list(cold, 0, tt.others)
		}
		if tt.newIssuers {
			change := time.AfterFunc(5*time.Second, func() { f.issuerShift.Store(1) })
			defer change.Stop()
		}
		f.sendSteadily(tt.interval, 4*time.Second)
		since := time.Now()
		for _, address := range cold {
			f.backends[address].TurnCold(warmupSpan)
		}
		if tt.issuersDie {
			for i := range f.gateways[:tt.instances/2] {
				f.unreachableOwners[fmt.Sprintf("127.0.0.1:%d", firstOwnerPort+i)] = true
			}
		}
		if tt.unnoticed {
			announcement := time.AfterFunc(time.Second, func() { f.list(cold, warmupSpan-time.Second, tt.others) })
			defer announcement.Stop()
		} else {
			f.list(cold, warmupSpan, tt.others)
		}
		statuses := f.sendSteadily(tt.interval, warmupSpan)
		total := 0
		for _, address := range cold {
			arrivals := f.backends[address].Arrivals()
			require.LessOrEqual(t, maxInWindow(arrivals, since, time.Second), maxColdRequests, address)
			for _, at := range arrivals {
				if !at.Before(since) && at.Sub(since) < warmupSpan {
					total++
				}
			}
		}
		t.Logf("%d requests to %d cold backend servers, %v", total, tt.cold, statuses)
		if tt.served {
			require.Equal(t, statuses[http.StatusOK], int(warmupSpan/tt.interval)*tt.instances)
		}
		if tt.full {
			require.GreaterOrEqual(t, float64(total), 0.75*warmupPerSecond*warmupSpan.Seconds()*float64(tt.cold))
		}
		if tt.newIssuers {
			// The permits of one issuer, and those that were usable when the issuer changed.
			require.LessOrEqual(t, float64(total), float64(tt.cold)*(1+warmupPerSecond*(warmupSpan+700*time.Millisecond).Seconds()))
		}
		f.sendSteadily(tt.interval, time.Second)
		require.Equal(t, map[int]int{http.StatusOK: int(time.Second/tt.interval) * tt.instances}, f.sendSteadily(tt.interval, time.Second), "warm again")
	})
}

// Guards against a cold backend server that crashes because many instances find it idle
// at the same moment, or do not know that it is cold; against a limit that stays unused
// while callers are refused; and against refusals while warm backend servers have room.
func TestColdBackendServersStayWithinTheLimit(t *testing.T) {
	for _, tt := range []warmupCase{
		{desc: "a part returns cold", instances: 40, cold: 3, interval: 200 * time.Millisecond, served: true},
		{desc: "a part returns cold, little demand", instances: 40, cold: 2, interval: time.Second, served: true},
		{desc: "all are cold", instances: 20, cold: 6, interval: 100 * time.Millisecond, full: true},
		{desc: "all are cold, many instances", instances: 60, cold: 6, interval: 250 * time.Millisecond, full: true},
		{desc: "in use without notice", instances: 40, cold: 3, interval: 200 * time.Millisecond, unnoticed: true, served: true},
		{desc: "the own failure domain returns cold", instances: 40, cold: 3, interval: 200 * time.Millisecond, others: "b", served: true, full: true},
		{desc: "half of the issuers die", instances: 40, cold: 3, interval: 200 * time.Millisecond, others: "b", issuersDie: true, served: true},
		{desc: "other issuers take over", instances: 40, cold: 3, interval: 200 * time.Millisecond, others: "b", newIssuers: true, served: true, full: true},
		{desc: "other issuers take over, all are cold", instances: 40, cold: 6, interval: 200 * time.Millisecond, newIssuers: true, full: true},
	} {
		t.Run(tt.desc, func(t *testing.T) { requireWarmupLimitHolds(t, queryingTreeText, tt) })
		if !tt.unnoticed {
			t.Run(tt.desc+", no load queries", func(t *testing.T) { requireWarmupLimitHolds(t, treeText, tt) })
		}
	}
}
