package outlier

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

var (
	eventEjected    = events.NewChange(4440, logrus.WarnLevel, "backend_ejected", "a backend server is ejected and gets no new work")
	eventReadmitted = events.NewChange(4441, logrus.InfoLevel, "backend_readmitted", "a backend server is readmitted by slow start")
	eventDraining   = events.NewChange(4442, logrus.InfoLevel, "backend_draining", "a backend server is draining and gets no new work")
	eventDrained    = events.NewChange(4443, logrus.InfoLevel, "backend_drain_ended", "no drain signal of a backend server is left and it gets work again")
	eventHealthy    = events.NewChange(4444, logrus.InfoLevel, "backend_full_weight", "a backend server has full weight")
	eventNotEjected = events.New(4445, logrus.WarnLevel, "ejection_bound_reached", "a backend server fails but the bound on ejections is reached")
	eventNew        = events.NewChange(4446, logrus.InfoLevel, "backend_slow_start", "a backend server that is new in the list gets work by slow start")
)
