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

// view answers the operators' questions. It implements operator.View; what
// concerns services comes from the gateway.
type view struct {
	*gateway.Gateway
	e *Entry
}

// Identity implements operator.View.
func (v view) Identity() operator.Identity {
	return operator.Identity{
		Instance:      v.e.conf.Instance,
		Incarnation:   fmt.Sprintf("%016x", v.e.incarnation),
		FailureDomain: v.e.conf.FailureDomain,
	}
}

// Ready implements operator.View.
func (v view) Ready() (bool, string) { return v.e.ready() }

// Log implements operator.View.
func (v view) Log() *audit.Log { return v.e.log }

// Settings implements operator.View.
func (v view) Settings(service string) (operator.Settings, bool) {
	return operator.DescribeSettings(v.e.store.State(), v.e.conf.Region, service)
}

// Instances implements operator.View.
func (v view) Instances() operator.Instances {
	ready, reason := v.e.ready()
	return operator.DescribeInstances(v.e.store.State(), ready, reason, v.e.table.Members())
}

// readinessTimeout bounds one question of the load balancer.
const readinessTimeout = 5 * time.Second

// readinessServer answers the load balancer, and nobody else.
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
		Handler: router, ReadHeaderTimeout: readinessTimeout, WriteTimeout: readinessTimeout, IdleTimeout: time.Minute,
	}
}

func (e *Entry) operatorServer() *http.Server {
	return operator.NewServer(operator.Options{
		View: view{e.gateway, e}, Credential: e.conf.Secrets.Operator,
		Metrics: e.metrics.Handler, Recorder: e.rec,
	})
}
