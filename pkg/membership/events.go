package membership

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

var (
	eventJoined             = events.New(2500, logrus.InfoLevel, "member_joined", "a new instance was added to the member table")
	eventForgotten          = events.New(2501, logrus.InfoLevel, "member_forgotten", "an instance was removed from the members: it was replaced or its counter stopped rising")
	eventOrdinalConflict    = events.NewChange(2502, logrus.ErrorLevel, "ordinal_conflict", "another instance has the same ordinal; neither sends probes")
	eventOrdinalUnique      = events.NewChange(2503, logrus.InfoLevel, "ordinal_unique", "no other instance has the same ordinal any more")
	eventTreeFetchFailed    = events.New(2504, logrus.WarnLevel, "tree_fetch_failed", "could not fetch the settings tree from a peer with a higher version")
	eventTableFull          = events.NewChange(2505, logrus.ErrorLevel, "member_table_full", "the member table is full; new instances are ignored")
	eventPaused             = events.NewChange(2506, logrus.WarnLevel, "process_paused", "the process did not run for a while; not ready until the version is confirmed")
	eventServingUnconfirmed = events.NewChange(2507, logrus.WarnLevel, "serving_unconfirmed", "ready although the version is not confirmed, as onUnconfirmed allows")
	eventSettingsReady      = events.NewChange(2508, logrus.InfoLevel, "settings_ready", "the settings allow this instance to serve")
)
