package platform

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

var (
	eventUnreachable = events.NewChange(2100, logrus.WarnLevel, "platform_unreachable", "a read from the platform failed; settings and instances in force are kept")
	eventReachable   = events.NewChange(2101, logrus.InfoLevel, "platform_reachable", "reads from the platform succeed again")
	eventRateRefused = events.New(2102, logrus.WarnLevel, "platform_rate_refused", "the platform refused a read because of its rate limit")
)
