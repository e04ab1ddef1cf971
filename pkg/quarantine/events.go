package quarantine

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

var (
	eventRequestQuarantined = events.NewChange(4600, logrus.WarnLevel, "request_quarantined", "a request that crashes backend servers is refused for a limited time")
	eventQuarantinedAgain   = events.NewChange(4604, logrus.WarnLevel, "request_quarantined_again", "a request on probation crashed a backend server again and is refused for the full duration")
	eventQuarantineMerged   = events.NewChange(4601, logrus.WarnLevel, "quarantine_merged", "a peer reported a request that crashes backend servers and the request is refused for a limited time")
	eventQuarantineOver     = events.NewChange(4602, logrus.InfoLevel, "quarantine_over", "a request is no longer blamed for crashes of backend servers")
	eventQuarantineEvicted  = events.NewChange(4603, logrus.WarnLevel, "quarantine_evicted", "the quarantine table was full and the quarantines that would end first were evicted")
)
