package quarantine

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

var (
	eventQuarantined = events.NewChange(4600, logrus.WarnLevel, "request_quarantined", "a request that crashes backend servers is refused for a while")
	eventAgain       = events.NewChange(4604, logrus.WarnLevel, "request_quarantined_again", "the trial of a quarantined request broke a backend server again")
	eventMerged      = events.NewChange(4601, logrus.WarnLevel, "quarantine_merged", "a peer reported a request that crashes backend servers")
	eventReleased    = events.NewChange(4602, logrus.InfoLevel, "quarantine_over", "a request counts no longer as one that crashes backend servers")
	eventEvicted     = events.NewChange(4603, logrus.WarnLevel, "quarantine_evicted", "the quarantine was full and the entries that would end first were dropped")
)
