package outlier

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

var (
	eventEjected      = events.NewChange(4440, logrus.WarnLevel, "backend_ejected", "a backend server is ejected and receives no new requests")
	eventReadmitted   = events.NewChange(4441, logrus.InfoLevel, "backend_readmitted", "an ejected backend server is readmitted in slow start")
	eventDraining     = events.NewChange(4442, logrus.InfoLevel, "backend_draining", "a backend server is draining and receives no new requests")
	eventDrainEnded   = events.NewChange(4443, logrus.InfoLevel, "backend_drain_ended", "the last drain signal of a backend server has expired and it receives requests again in slow start")
	eventFullWeight   = events.NewChange(4444, logrus.InfoLevel, "backend_full_weight", "a backend server has reached full weight after slow start")
	eventBoundReached = events.New(4445, logrus.WarnLevel, "ejection_bound_reached", "a backend server is an outlier but is not ejected because the limit on ejections is reached")
	eventSlowStart    = events.NewChange(4446, logrus.InfoLevel, "backend_slow_start", "a backend server that is new in the list receives requests in slow start")
)
