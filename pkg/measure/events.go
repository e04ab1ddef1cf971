package measure

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

var (
	eventExhausted = events.NewChange(4200, logrus.InfoLevel, "measuring_budget_exhausted", "the measuring budget of a service refused probes of old load reports")
	eventRecovered = events.NewChange(4201, logrus.InfoLevel, "measuring_budget_recovered", "the measuring budget of a service refuses no probe any more")
)
