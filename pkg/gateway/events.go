package gateway

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

// Events of the gateway.
var (
	EventServiceNotConfigured = events.NewChange(6001, logrus.ErrorLevel, "service_not_configured", "the settings of a service could not be applied; the previous settings stay in force")
	eventRateLimitChanged     = events.NewChange(6004, logrus.InfoLevel, "rate_limit_changed", "a backend server has stated another rate limit for all instances together, or none any more")
	eventServiceUnreachable   = events.NewChange(6006, logrus.WarnLevel, "service_unreachable", "no backend server of a service is reached; requests are handed to peers")
	eventServiceReached       = events.NewChange(6007, logrus.InfoLevel, "service_reached", "a backend server of the service is reached again")
	eventEvacuationBegun      = events.NewChange(6020, logrus.WarnLevel, "evacuation_begun", "a failure domain is evacuated by an operator; its backend servers get no requests from this instance")
	eventEvacuationEnded      = events.NewChange(6021, logrus.InfoLevel, "evacuation_ended", "the evacuation of a failure domain has ended; its backend servers are used again")
	eventRankShed             = events.NewChange(6040, logrus.WarnLevel, "rank_shed", "requests of a rank are refused because the service has too little capacity for them")
	eventRankServed           = events.NewChange(6041, logrus.InfoLevel, "rank_served", "requests of a rank are no longer refused")
	eventConnectionLimit      = events.New(6013, logrus.WarnLevel, "caller_connection_limit", "connections of callers were closed to make room for new ones; at most one event in 10 s")
	eventResponseLimit        = events.New(6014, logrus.WarnLevel, "response_limit", "responses that their callers did not read were cut off; at most one event in 10 s")
	eventHeadLimit            = events.New(6012, logrus.WarnLevel, "head_limit", "heads of requests were refused, or connections with unfinished heads closed, because of a limit; at most one event in 10 s")
	eventBodyLimit            = events.New(6015, logrus.WarnLevel, "body_limit", "requests whose bodies did not arrive were refused because others needed the memory; at most one event in 10 s")
	eventServerBackoff        = events.New(6005, logrus.InfoLevel, "backend_backoff", "a backend server has refused a request and gets no further ones from this instance for some time")
	eventServerCold           = events.New(6030, logrus.InfoLevel, "backend_cold", "a backend server has stated that it is cold; until it is warm, its requests need permits that one instance issues for all")
	// Each non-idempotent request whose outcome the caller does not know is
	// written to the log stream, which outlives the instance, so that operators
	// can inform the customer proactively.
	EventOutcomeUnknown      = events.New(6002, logrus.WarnLevel, "outcome_unknown", "a non-idempotent request may have run; its outcome is not known")
	EventAbnormalRequest     = events.New(6010, logrus.InfoLevel, "request_told", "a request did not complete normally: refused, failed, late or sent more than once")
	EventNormalRequest       = events.New(6011, logrus.InfoLevel, "request_sampled", "a request completed normally; only a sample of these requests is logged")
	EventResponseUndelivered = events.New(6003, logrus.WarnLevel, "response_undelivered", "a non-idempotent request ran, but the caller did not receive the complete response")
)
