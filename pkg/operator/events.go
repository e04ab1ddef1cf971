package operator

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

var eventRefused = events.New(7001, logrus.WarnLevel, "operator_refused", "requests to the operator interface had no or a wrong credential")
