// Package operatortest provides a View with fixed answers for tests.
package operatortest

import (
	"time"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/operator"
)

// Start is the wall time of all answers.
var Start = time.Unix(1_700_000_000, 0).UTC()

// View is a View whose answers are its fields.
type View struct {
	Name         string
	NotReady     string // reason; empty: ready
	Records      *audit.Log
	BackendsOf   map[string][]operator.Backend
	SettingsOf   map[string]operator.Settings
	Own          operator.Instances
	Drains       []operator.Drain
	Measurements []operator.Measuring
}

// Identity implements operator.View.
func (v *View) Identity() operator.Identity {
	return operator.Identity{Instance: v.Name, Incarnation: "00000000000000a1", FailureDomain: "fd-" + v.Name}
}

// Ready implements operator.View.
func (v *View) Ready() (bool, string) { return v.NotReady == "", v.NotReady }

// Log implements operator.View.
func (v *View) Log() *audit.Log { return v.Records }

// Backends implements operator.View.
func (v *View) Backends(service string) ([]operator.Backend, bool) {
	b, ok := v.BackendsOf[service]
	return b, ok
}

// Settings implements operator.View.
func (v *View) Settings(service string) (operator.Settings, bool) {
	s, ok := v.SettingsOf[service]
	return s, ok
}

// Instances implements operator.View.
func (v *View) Instances() operator.Instances { return v.Own }

// Draining implements operator.View.
func (v *View) Draining() []operator.Drain { return v.Drains }

// Measuring implements operator.View.
func (v *View) Measuring() []operator.Measuring { return v.Measurements }
