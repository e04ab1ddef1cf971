// Package metrics exports the tally metrics of a process in the Prometheus text
// format.
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

// reportInterval is how often tally passes its values to the Prometheus reporter.
const reportInterval = time.Second

// Metrics holds the root scope of a process and the handler that exports it.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler // serves the Prometheus text format
	closer  io.Closer
}

// New returns Metrics whose root scope has the prefix "lentilpin" and the given
// tags. The handler also exports metrics of the process and the Go runtime, such
// as processor time and memory, which are collected only when they are scraped. If
// a metric is already registered, the second registration is dropped and the
// process continues.
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

// Close reports the last values to the Prometheus reporter and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
