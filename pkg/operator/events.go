package operator

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

var eventUnauthorized = events.New(7001, logrus.WarnLevel, "operator_refused", "requests to the operator interface were refused because the credential was missing or wrong")
