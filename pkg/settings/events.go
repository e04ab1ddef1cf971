package settings

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

var (
	eventAdopted      = events.NewChange(2000, logrus.InfoLevel, "settings_adopted", "adopted a settings tree with a higher version")
	eventConflict     = events.NewChange(2001, logrus.ErrorLevel, "settings_conflict", "refused a settings tree: its content differs from that of the same version in force; publish a higher version")
	eventInvalid      = events.NewChange(2002, logrus.ErrorLevel, "settings_invalid", "refused an invalid settings tree; the settings in force are kept")
	eventOlder        = events.New(2003, logrus.InfoLevel, "settings_older", "ignored a settings tree with a lower version")
	eventConfirmed    = events.NewChange(2004, logrus.InfoLevel, "settings_confirmed", "the version in force is confirmed")
	eventUnconfirmed  = events.NewChange(2005, logrus.WarnLevel, "settings_unconfirmed", "the version in force is no longer confirmed")
	eventSlowAdoption = events.New(2006, logrus.InfoLevel, "settings_adopted_slowly", "parsing a settings tree and putting it in force took long; meanwhile requests were delayed")
)
