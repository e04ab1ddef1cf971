package gateway

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

// Events of the gateway.
var (
	EventServiceRefused = events.NewChange(6001, logrus.ErrorLevel, "service_not_configured", "a service's settings could not be put in force; the former ones stay")
	// Every non-idempotent request whose end its caller does not know is on the
	// log stream, which outlives the instance, so that operators can tell the
	// customer before the customer asks.
	EventUnknown       = events.New(6002, logrus.WarnLevel, "outcome_unknown", "a non-idempotent request may have run; its outcome is not known")
	EventRequest       = events.New(6010, logrus.InfoLevel, "request_told", "a request did not go as planned: refused, failed, late or sent more than once")
	EventRequestSample = events.New(6011, logrus.InfoLevel, "request_sampled", "one of many requests that went as planned")
	EventUndelivered   = events.New(6003, logrus.WarnLevel, "response_undelivered", "a non-idempotent request ran, but its response did not reach the caller whole")
)
