// Package operatortest provides an operator.View with fixed results for tests.
package operatortest

import (
	"time"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/operator"
)

// Start is a fixed wall-clock time for test data.
var Start = time.Unix(1_700_000_000, 0).UTC()

// View is an operator.View that returns its fields.
type View struct {
	InstanceName     string
	NotReadyReason   string // empty if the instance is ready
	AuditLog         *audit.Log
	ServiceBackends  map[string][]operator.Backend
	ServiceSettings  map[string]operator.Settings
	OwnState         operator.InstanceState
	ActiveDrainMarks []operator.DrainMark
	Probes           []operator.Measuring
	HedgeCounts      []operator.Hedges
}

// Identity implements operator.View.
func (v *View) Identity() operator.Identity {
	return operator.Identity{Instance: v.InstanceName, Incarnation: "00000000000000a1", FailureDomain: "fd-" + v.InstanceName}
}

// Ready implements operator.View.
func (v *View) Ready() (bool, string) { return v.NotReadyReason == "", v.NotReadyReason }

// Log implements operator.View.
func (v *View) Log() *audit.Log { return v.AuditLog }

// Backends implements operator.View.
func (v *View) Backends(service string) ([]operator.Backend, bool) {
	b, ok := v.ServiceBackends[service]
	return b, ok
}

// Settings implements operator.View.
func (v *View) Settings(service string) (operator.Settings, bool) {
	s, ok := v.ServiceSettings[service]
	return s, ok
}

// InstanceState implements operator.View.
func (v *View) InstanceState() operator.InstanceState { return v.OwnState }

// DrainMarks implements operator.View.
func (v *View) DrainMarks() []operator.DrainMark { return v.ActiveDrainMarks }

// Measuring implements operator.View.
func (v *View) Measuring() []operator.Measuring { return v.Probes }

// Hedges implements operator.View.
func (v *View) Hedges() []operator.Hedges { return v.HedgeCounts }
