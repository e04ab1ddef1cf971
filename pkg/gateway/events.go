package gateway

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

// EventServiceRefused reports a service whose settings cannot be put in force.
var EventServiceRefused = events.NewChange(6002, logrus.ErrorLevel, "service_not_configured", "a service's settings could not be put in force; the former ones stay")
