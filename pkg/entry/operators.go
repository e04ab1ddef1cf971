package entry

import (
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/gateway"
	"lentilpin/pkg/operator"
)

// operatorView implements operator.View. The embedded gateway provides the
// methods that concern services.
type operatorView struct {
	*gateway.Gateway
	e *Entry
}

// Identity implements operator.View.
func (v operatorView) Identity() operator.Identity {
	return operator.Identity{
		Instance:      v.e.conf.Instance,
		Incarnation:   fmt.Sprintf("%016x", v.e.incarnation),
		FailureDomain: v.e.conf.FailureDomain,
	}
}

// Ready implements operator.View.
func (v operatorView) Ready() (bool, string) { return v.e.ready() }

// Log implements operator.View.
func (v operatorView) Log() *audit.Log { return v.e.log }

// Settings implements operator.View.
func (v operatorView) Settings(service string) (operator.Settings, bool) {
	return operator.DescribeSettings(v.e.settingsStore.State(), v.e.conf.Region, service)
}

// InstanceState implements operator.View.
func (v operatorView) InstanceState() operator.InstanceState {
	ready, reason := v.e.ready()
	state := operator.DescribeInstanceState(v.e.settingsStore.State(), ready, reason, v.e.memberTable.Members())
	state.Evacuated = v.EvacuatedDomains()
	return state
}

// readinessTimeout bounds reading the header of one readiness check and writing
// the response.
const readinessTimeout = 5 * time.Second

// maxReadinessHeadBytes bounds the head of a readiness check, which has few fields.
const maxReadinessHeadBytes = 8 << 10

// readinessServer returns an HTTP server that serves only the readiness check
// of the platform's load balancer.
func (e *Entry) readinessServer() *http.Server {
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.GET(e.conf.Listen.ReadyPath, func(c echo.Context) error {
		if ok, reason := e.ready(); !ok {
			return c.String(http.StatusServiceUnavailable, reason+"\n")
		}
		return c.NoContent(http.StatusOK)
	})
	return &http.Server{
		Handler: router, ReadHeaderTimeout: readinessTimeout, ReadTimeout: readinessTimeout, WriteTimeout: readinessTimeout,
		IdleTimeout: time.Minute, MaxHeaderBytes: maxReadinessHeadBytes,
	}
}

// operatorServer returns the HTTP server of the operator interface.
func (e *Entry) operatorServer() *http.Server {
	return operator.NewServer(operator.Options{
		View: operatorView{e.gateway, e}, Credential: e.conf.Secrets.Operator,
		Metrics: e.metrics.Handler, Recorder: e.recorder,
	})
}
