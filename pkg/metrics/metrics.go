// Package metrics joins the tally scope of a process with the page that
// Prometheus reads.
package metrics

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally hands its values to the reporter.
const reportInterval = time.Second

// Metrics is the root scope of a process.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler // serves the Prometheus text format
	closer  io.Closer
}

// New returns a root scope with the prefix "lentilpin". The page also shows
// processor time and memory, which are read only when it is asked for. A metric that cannot
// be registered twice is dropped rather than stopping the process.
func New(tags map[string]string) *Metrics {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer:      registry,
		Gatherer:        registry,
		OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "lentilpin",
		Tags:           tags,
		CachedReporter: reporter,
		Separator:      promreporter.DefaultSeparator,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports the last values and stops the reporter.
func (m *Metrics) Close() error { return m.closer.Close() }
