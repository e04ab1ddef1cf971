package events

import (
	"fmt"
	"sort"
	"sync"

	"github.com/sirupsen/logrus"
)

// Event describes one kind of log event.
type Event struct {
	Number int
	Name   string // snake_case, never changes
	Level  logrus.Level
	Text   string // one sentence for the log line and the catalogue
	Change bool   // whether the event is also written to the audit trail
}

// Field is one named value that is logged with an event.
type Field struct {
	Name  string
	Value any
}

// F returns a Field with the given name and value.
func F(name string, value any) Field { return Field{Name: name, Value: value} }

// Recorder receives events as they occur.
type Recorder interface {
	Record(e *Event, fields ...Field)
}

var (
	registryMu sync.Mutex
	registry   = map[int]*Event{}
)

// New registers an event that is written to the log stream only. It panics if the
// number is already registered, because two events with one number would make the
// catalogue ambiguous.
func New(number int, level logrus.Level, name, text string) *Event {
	return register(&Event{Number: number, Name: name, Level: level, Text: text})
}

// NewChange registers an event that is also written to the audit trail. It panics
// as New does.
func NewChange(number int, level logrus.Level, name, text string) *Event {
	return register(&Event{Number: number, Name: name, Level: level, Text: text, Change: true})
}

func register(e *Event) *Event {
	registryMu.Lock()
	defer registryMu.Unlock()
	if existing, ok := registry[e.Number]; ok {
		panic(fmt.Sprintf("event %d is registered as %s and as %s", e.Number, existing.Name, e.Name))
	}
	registry[e.Number] = e
	return e
}

// All returns every registered event, sorted by number.
func All() []*Event {
	registryMu.Lock()
	defer registryMu.Unlock()
	all := make([]*Event, 0, len(registry))
	for _, e := range registry {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}

// Logger is a Recorder that writes events to a logrus logger and passes events
// marked as changes to the audit trail, whatever the log level is.
type Logger struct {
	log        *logrus.Logger
	auditTrail Recorder
}

// NewLogger returns a Logger that writes to log. auditTrail receives the events
// marked as changes; it may be nil.
func NewLogger(log *logrus.Logger, auditTrail Recorder) *Logger {
	return &Logger{log: log, auditTrail: auditTrail}
}

// Record logs the event with its fields. It implements Recorder.
func (l *Logger) Record(e *Event, fields ...Field) {
	if e.Change && l.auditTrail != nil {
		l.auditTrail.Record(e, fields...)
	}
	if !l.log.IsLevelEnabled(e.Level) {
		return
	}
	logFields := make(logrus.Fields, len(fields)+2)
	logFields["event"] = e.Number
	logFields["name"] = e.Name
	for _, f := range fields {
		logFields[f.Name] = cutText(f.Value)
	}
	l.log.WithFields(logFields).Log(e.Level, e.Text)
}

// maxFieldBytes is the length to which the text of a field is cut in the log stream: callers
// and backend servers choose some of them.
const maxFieldBytes = 1024

func cutText(value any) any {
	if text, ok := value.(string); ok && len(text) > maxFieldBytes {
		return text[:maxFieldBytes] + "..."
	}
	return value
}

// Discard is a Recorder that drops every event.
type Discard struct{}

// Record does nothing. It implements Recorder.
func (Discard) Record(*Event, ...Field) {}
