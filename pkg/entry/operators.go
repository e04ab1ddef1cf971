package entry

import (
	"fmt"
	"net/http"

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

func (e *Entry) operatorServer() *http.Server {
	return operator.NewServer(operator.Options{
		View: view{e.gateway, e}, Credential: e.conf.Secrets.Operator,
		Metrics: e.metrics.Handler, Recorder: e.rec,
	})
}
