package events_test

import (
	"bytes"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"lentilpin/pkg/events"
)

var (
	testEvent  = events.New(9901, logrus.InfoLevel, "test_event", "a test event")
	testChange = events.NewChange(9902, logrus.WarnLevel, "test_change", "a test change")
)

// fakeTrail collects the recorded events.
type fakeTrail struct{ recorded []*events.Event }

func (t *fakeTrail) Record(e *events.Event, _ ...events.Field) { t.recorded = append(t.recorded, e) }

// Guards against an event marked as a change that does not reach the audit trail,
// also if the log level suppresses its log line.
func TestChangesReachAuditTrail(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetLevel(logrus.ErrorLevel)
	auditTrail := &fakeTrail{}
	l := events.NewLogger(log, auditTrail)
	l.Record(testEvent)
	l.Record(testChange, events.F("service", "varasto"))
	require.Equal(t, []*events.Event{testChange}, auditTrail.recorded)
	require.Empty(t, out.String())
	log.SetLevel(logrus.InfoLevel)
	l.Record(testChange, events.F("service", "varasto"))
	require.Contains(t, out.String(), "event=9902")
}

// Guards against two events that share one number.
func TestDuplicateNumberPanics(t *testing.T) {
	require.Panics(t, func() { events.New(9901, logrus.InfoLevel, "other", "other") })
}
