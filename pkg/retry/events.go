package retry

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

var (
	eventExhausted = events.NewChange(4420, logrus.WarnLevel, "retry_budget_exhausted", "the retry budget of a service is exhausted and extra attempts are refused")
	eventRecovered = events.NewChange(4421, logrus.InfoLevel, "retry_budget_recovered", "the retry budget of a service no longer refuses extra attempts")
)
