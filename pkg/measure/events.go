package measure

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

var (
	eventBudgetExhausted = events.NewChange(4200, logrus.InfoLevel, "measuring_budget_exhausted", "the measuring budget of a service refused probes for outdated load reports")
	eventBudgetRecovered = events.NewChange(4201, logrus.InfoLevel, "measuring_budget_recovered", "the measuring budget of a service no longer refuses probes")
)
