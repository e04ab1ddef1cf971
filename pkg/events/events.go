package events

import (
	"fmt"
	"sort"
	"sync"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log line.
type Event struct {
	Number int
	Name   string // fixed word, snake_case
	Level  logrus.Level
	Text   string // one sentence for the log line and the catalogue
	Change bool   // whether it belongs in the audit trail
}

// Field is one named value of an event.
type Field struct {
	Name  string
	Value any
}

// F returns a field.
func F(name string, value any) Field { return Field{Name: name, Value: value} }

// Recorder takes events.
type Recorder interface {
	Record(e *Event, fields ...Field)
}

var (
	registryMu sync.Mutex
	registry   = map[int]*Event{}
)

// New registers an event of the log stream. It panics if the number is taken,
// because two events with one number would make the catalogue ambiguous.
func New(number int, level logrus.Level, name, text string) *Event {
	return register(&Event{Number: number, Name: name, Level: level, Text: text})
}

// NewChange registers an event that also goes to the audit trail.
func NewChange(number int, level logrus.Level, name, text string) *Event {
	return register(&Event{Number: number, Name: name, Level: level, Text: text, Change: true})
}

func register(e *Event) *Event {
	registryMu.Lock()
	defer registryMu.Unlock()
	if old, ok := registry[e.Number]; ok {
		panic(fmt.Sprintf("event %d is registered as %s and as %s", e.Number, old.Name, e.Name))
	}
	registry[e.Number] = e
	return e
}

// All returns every registered event in the order of the numbers.
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

// Logger is a Recorder that writes to a logrus logger and passes changes on.
type Logger struct {
	log   *logrus.Logger
	trail Recorder
}

// NewLogger returns a Recorder over log. trail receives events marked as
// changes; it may be nil.
func NewLogger(log *logrus.Logger, trail Recorder) *Logger {
	return &Logger{log: log, trail: trail}
}

// Record implements Recorder.
func (l *Logger) Record(e *Event, fields ...Field) {
	if e.Change && l.trail != nil {
		l.trail.Record(e, fields...)
	}
	if !l.log.IsLevelEnabled(e.Level) {
		return
	}
	values := make(logrus.Fields, len(fields)+2)
	values["event"] = e.Number
	values["name"] = e.Name
	for _, f := range fields {
		values[f.Name] = f.Value
	}
	l.log.WithFields(values).Log(e.Level, e.Text)
}

// Discard is a Recorder that drops every event.
type Discard struct{}

// Record implements Recorder.
func (Discard) Record(*Event, ...Field) {}
