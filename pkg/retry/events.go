package retry

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

var (
	eventExhausted = events.NewChange(4420, logrus.WarnLevel, "retry_budget_exhausted", "the retry budget of a service is exhausted and extra attempts are refused")
	eventRecovered = events.NewChange(4421, logrus.InfoLevel, "retry_budget_recovered", "the retry budget of a service no longer refuses extra attempts")

	eventHedgeBudgetExhausted      = events.NewChange(4422, logrus.InfoLevel, "hedge_budget_exhausted", "the hedges of a service have reached their share of its requests; further ones are not sent")
	eventHedgeBudgetRecovered      = events.NewChange(4423, logrus.InfoLevel, "hedge_budget_recovered", "no hedge of a service is refused any more because of their share of its requests")
	eventFleetHedgeBudgetExhausted = events.NewChange(4424, logrus.InfoLevel, "fleet_hedge_budget_exhausted", "the hedges of all services have reached their share of the requests of this instance; further ones are not sent")
	eventFleetHedgeBudgetRecovered = events.NewChange(4425, logrus.InfoLevel, "fleet_hedge_budget_recovered", "no hedge is refused any more because of the share of the requests of this instance")
)
