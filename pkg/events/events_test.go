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

type trail struct{ seen []*events.Event }

func (t *trail) Record(e *events.Event, _ ...events.Field) { t.seen = append(t.seen, e) }

// Guards against a change that reaches the log but not the audit trail, also
// where the log level hides it.
func TestChangesReachTheTrail(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetLevel(logrus.ErrorLevel)
	tr := &trail{}
	l := events.NewLogger(log, tr)
	l.Record(testEvent)
	l.Record(testChange, events.F("service", "varasto"))
	require.Equal(t, []*events.Event{testChange}, tr.seen)
	require.Empty(t, out.String())
	log.SetLevel(logrus.InfoLevel)
	l.Record(testChange, events.F("service", "varasto"))
	require.Contains(t, out.String(), "event=9902")
}

// Guards against two events with one number.
func TestNumbersAreUnique(t *testing.T) {
	require.Panics(t, func() { events.New(9901, logrus.InfoLevel, "other", "other") })
}
