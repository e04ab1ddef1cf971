package load

import (
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/config/dynamic"
)

// Limits of a run.
const (
	MaxRate     = 50_000.0 // requests per second
	MaxDuration = 10 * time.Minute
	MaxRequests = 3_000_000
	MaxInflight = 20_000
)

// Options configures a run.
type Options struct {
	Targets     []string      // caller addresses of entries; loopback only
	Direct      []string      // backend servers for direct reads; loopback only; may be empty
	Rate        float64       // requests per second over all targets, default 100
	Duration    time.Duration // default 5 s
	Reads       int           // weight of reads in the mix, default 9
	Orders      int           // weight of orders in the mix, default 1
	ResendRatio float64       // share of orders that are resent with the same key, 0 to 1, default 0
	ReadPath    string        // default /varasto/items
	OrderPath   string        // default /tilaus/orders
	Timeout     time.Duration // of one request, default 2 s
	Inflight    int           // maximum number of concurrent requests, default 2000; more are not sent
	Seed        uint64        // default 1
}

// Defaults returns the default values listed at Options, without targets.
func Defaults() Options {
	return Options{
		Rate: 100, Duration: 5 * time.Second, Reads: 9, Orders: 1, ReadPath: "/varasto/items", OrderPath: "/tilaus/orders",
		Timeout: 2 * time.Second, Inflight: 2000, Seed: 1,
	}
}

func (o *Options) validate() error {
	if len(o.Targets) == 0 && len(o.Direct) == 0 {
		return errors.New("no target")
	}
	for _, address := range append(append([]string(nil), o.Targets...), o.Direct...) {
		if err := CheckLoopback(address); err != nil {
			return err
		}
	}
	switch {
	case !(o.Rate > 0 && o.Rate <= MaxRate):
		return errors.Errorf("rate %v: want more than 0 and at most %v", o.Rate, MaxRate)
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return errors.Errorf("duration %v: want more than 0 and at most %v", o.Duration, MaxDuration)
	case o.Rate*o.Duration.Seconds() > MaxRequests:
		return errors.Errorf("%.0f requests: want at most %d", o.Rate*o.Duration.Seconds(), MaxRequests)
	case o.Reads < 0 || o.Orders < 0 || o.Reads+o.Orders == 0:
		return errors.Errorf("mix %d:%d: want shares of 0 or more, not both 0", o.Reads, o.Orders)
	case o.ResendRatio < 0 || o.ResendRatio > 1:
		return errors.Errorf("resend %v: want 0 to 1", o.ResendRatio)
	case o.Timeout <= 0 || o.Timeout > MaxDuration:
		return errors.Errorf("timeout %v: want more than 0 and at most %v", o.Timeout, MaxDuration)
	case o.Inflight < 1 || o.Inflight > MaxInflight:
		return errors.Errorf("inflight %d: want 1 to %d", o.Inflight, MaxInflight)
	}
	return nil
}

// CheckLoopback returns an error unless the address is a loopback IP address with
// a port. Host names are refused too, because the addresses to which they resolve
// can change.
func CheckLoopback(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrapf(err, "address %q: want IP:port", address)
	}
	if !a.Addr().Unmap().IsLoopback() {
		return errors.Errorf("address %q is not a loopback address", address)
	}
	return nil
}

// poolSettings returns the settings of the shared connection pool.
func (o *Options) poolSettings() *dynamic.Service {
	const (
		dialMS       = 1000
		idleMS       = 5000
		maxBodyBytes = 1 << 20
	)
	return &dynamic.Service{
		MaxBodyBytes: maxBodyBytes, InstanceCeiling: 1,
		Connections: dynamic.Connections{
			PerBackend: o.Inflight, DialMS: dialMS, IdleMS: idleMS, SilentMS: int(o.Timeout.Milliseconds()) + 1,
		},
		Headers: dynamic.Headers{
			LoadReport: "endpoint-load-metrics", State: "Backend-State", DrainingValue: "draining", Shed: "Backend-Shed", Timeout: "Request-Timeout",
		},
	}
}
