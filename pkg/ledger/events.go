package ledger

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

var (
	eventFull = events.NewChange(3001, logrus.WarnLevel, "ledger_full",
		"The ledger holds the most claims that it may; it refuses further claims until some expire.")
	eventNotFull = events.NewChange(3002, logrus.InfoLevel, "ledger_not_full",
		"The ledger grants claims again.")
	eventReplayFull = events.NewChange(3003, logrus.WarnLevel, "ledger_replay_full",
		"The ledger holds the most response bytes that it may; responses are kept without their body.")
	eventSealed = events.NewChange(3004, logrus.InfoLevel, "ledger_sealed",
		"The ledger is sealed and grants no more claims.")
	eventHandedOver = events.NewChange(3005, logrus.InfoLevel, "ledger_handed_over",
		"The successor has accepted the sealed ledger.")
	eventHandoverFailed = events.NewChange(3006, logrus.WarnLevel, "ledger_handover_failed",
		"The handover did not end well; the keys that it concerns resolve to unknown unless the successor received all of it.")
	eventAdopted = events.NewChange(3007, logrus.InfoLevel, "ledger_adopted",
		"This instance took over the ledger of another.")
	eventAdoptionRefused = events.NewChange(3008, logrus.WarnLevel, "ledger_adoption_refused",
		"A chunk of another instance's ledger was refused.")
	eventSettleConflict = events.New(3009, logrus.WarnLevel, "ledger_settle_conflict",
		"A settle does not match the grant or the result on record; the record is unchanged.")
	eventSettleLost = events.New(3010, logrus.WarnLevel, "ledger_settle_lost",
		"The owner did not confirm a settle; the key resolves to unknown unless the settle arrived.")
)
