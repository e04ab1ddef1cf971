package ledger

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

var (
	eventFull = events.NewChange(3001, logrus.WarnLevel, "ledger_full",
		"the ledger holds the most claims that it may; it refuses further claims until some expire")
	eventNotFull = events.NewChange(3002, logrus.InfoLevel, "ledger_not_full",
		"the ledger grants claims again")
	eventReplayFull = events.NewChange(3003, logrus.WarnLevel, "ledger_replay_full",
		"the ledger holds the most response bytes that it may; responses are kept without their body")
	eventSealed = events.NewChange(3004, logrus.InfoLevel, "ledger_sealed",
		"the ledger is sealed and grants no more claims")
	eventHandedOver = events.NewChange(3005, logrus.InfoLevel, "ledger_handed_over",
		"the successor has accepted the sealed ledger")
	eventHandoverFailed = events.NewChange(3006, logrus.WarnLevel, "ledger_handover_failed",
		"the handover did not end well; the keys that it concerns resolve to unknown unless the successor received all of it")
	eventAdopted = events.NewChange(3007, logrus.InfoLevel, "ledger_adopted",
		"this instance took over the ledger of another")
	eventAdoptionRefused = events.NewChange(3008, logrus.WarnLevel, "ledger_adoption_refused",
		"a chunk of another instance's ledger was refused")
	eventSettleConflict = events.New(3009, logrus.WarnLevel, "ledger_settle_conflict",
		"a settle does not match the grant or the result on record; the record is unchanged")
	eventSettleLost = events.New(3010, logrus.WarnLevel, "ledger_settle_lost",
		"the owner did not confirm a settle; the key resolves to unknown unless the settle arrived")
)
