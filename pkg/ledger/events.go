package ledger

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

var (
	eventFull = events.NewChange(3001, logrus.WarnLevel, "ledger_full",
		"the ledger has reached its maximum number of claims; it refuses further claims until some expire")
	eventNotFull = events.NewChange(3002, logrus.InfoLevel, "ledger_not_full",
		"the ledger is below its maximum number of claims and grants claims again")
	eventReplayFull = events.NewChange(3003, logrus.WarnLevel, "ledger_replay_full",
		"the ledger has reached its maximum of stored response bytes; responses are stored without their body")
	eventSealed = events.NewChange(3004, logrus.InfoLevel, "ledger_sealed",
		"the ledger is sealed and grants no further claims")
	eventHandedOver = events.NewChange(3005, logrus.InfoLevel, "ledger_handed_over",
		"the successor has accepted the sealed ledger")
	eventHandoverFailed = events.NewChange(3006, logrus.WarnLevel, "ledger_handover_failed",
		"a handover failed; the keys of the ledger resolve to unknown unless a successor receives every chunk")
	eventAdopted = events.NewChange(3007, logrus.InfoLevel, "ledger_adopted",
		"this instance adopted the ledger of another instance")
	eventAdoptionRefused = events.NewChange(3008, logrus.WarnLevel, "ledger_adoption_refused",
		"this instance refused a chunk of another instance's ledger")
	eventSettleConflict = events.New(3009, logrus.WarnLevel, "ledger_settle_conflict",
		"a settle request does not match the recorded grant or result; the record is unchanged")
	eventSettleLost = events.New(3010, logrus.WarnLevel, "ledger_settle_lost",
		"the owner did not confirm a settle request; the key resolves to unknown unless the request arrived")
)
