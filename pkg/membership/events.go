package membership

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

var (
	eventJoined          = events.New(2500, logrus.InfoLevel, "member_joined", "an instance was heard of for the first time")
	eventForgotten       = events.New(2501, logrus.InfoLevel, "member_forgotten", "an instance was not heard of for long and is forgotten")
	eventOrdinalConflict = events.NewChange(2502, logrus.ErrorLevel, "ordinal_conflict", "another instance has the same ordinal; neither sends probes")
	eventOrdinalUnique   = events.NewChange(2503, logrus.InfoLevel, "ordinal_unique", "no other instance has the same ordinal any more")
	eventTreeFetch       = events.New(2504, logrus.WarnLevel, "tree_fetch_failed", "a peer with a higher version did not hand over its tree")
	eventTableFull       = events.NewChange(2505, logrus.ErrorLevel, "member_table_full", "the table of members is full; new instances are ignored")
	eventPaused          = events.NewChange(2506, logrus.WarnLevel, "process_paused", "the process did not run for a while; not ready until the version is confirmed")
	eventServing         = events.NewChange(2507, logrus.WarnLevel, "serving_unconfirmed", "ready although the version is not confirmed, as onUnconfirmed says")
	eventReady           = events.NewChange(2508, logrus.InfoLevel, "settings_ready", "the settings allow this instance to serve")
)
