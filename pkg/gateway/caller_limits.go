package gateway

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/config/static"
	"lentilpin/pkg/events"
	"lentilpin/pkg/framing"
	"lentilpin/pkg/limit"
)

// callerLimits bounds what is held for callers that may never finish a request or never
// read a response.
type callerLimits struct {
	heads     *limit.Budget
	responses *responseLimits
	lingering atomic.Int64
	reports   limitReports
}

func newCallerLimits(scope tally.Scope, limits static.Limits) *callerLimits {
	l := &callerLimits{heads: limit.NewBudget(limits.HeadMemory(), 0), reports: limitReports{scope: scope}}
	l.reports.watch(eventHeadLimit, "heads_closed", func() uint64 { return l.heads.Stats().GaveWay })
	l.responses = newResponseLimits(limits, &l.reports)
	return l
}

// refuseOverLimit responds to requests whose heads are over a limit. They are not counted
// as accepted: not even their identifier is known. They have not run, but an earlier
// request with a key that was not read may have.
func (l *callerLimits) refuseOverLimit(g *Gateway, next http.Handler) http.Handler {
	var refused atomic.Uint64
	l.reports.watch(eventHeadLimit, "heads_refused", refused.Load)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reason, isOver := framing.IsOverLimit(r)
		if !isOver {
			next.ServeHTTP(w, r)
			return
		}
		refused.Add(1)
		res := notRunResult(http.StatusRequestHeaderFieldsTooLarge, reasonHeaderTooLarge, reason)
		if reason == framing.NoMemory {
			res = notRunResult(http.StatusServiceUnavailable, reasonHeaderMemory, reason).withRetryAfter()
		}
		if r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodOptions {
			res.run = audit.Unknown
		}
		res.keyState = keyStateNone
		w.Header().Set("Connection", "close")
		l.closeAfterReading(w)
		w.Header().Set(runHeader, string(res.run))
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
		writeProblem(w, g.current.Load().callers, g.nextRequestID(), res)
	})
}

const (
	// lingerTime is how long net/http keeps a connection after a last response of which the
	// caller may not have read all.
	lingerTime = 500 * time.Millisecond
	// maxLingering is how many connections are kept so after a head over a limit.
	maxLingering = 64
)

// closeAfterReading makes net/http close the connection after the response only when the
// caller has had the time to read it: a caller that still sends its head would see a reset.
// net/http does so after a body over a limit. It has no effect if maxLingering connections
// are kept so.
func (l *callerLimits) closeAfterReading(w http.ResponseWriter) {
	if l.lingering.Add(1) > maxLingering {
		l.lingering.Add(-1)
		return
	}
	time.AfterFunc(lingerTime, func() { l.lingering.Add(-1) })
	over := http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0)
	_, _ = over.Read(make([]byte, 1)) // the error is that of the limit
}

// limitReportInterval bounds the events about limits: callers cause any number of cases.
const limitReportInterval = 10 * time.Second

// limitReports counts the cases in which limits were met in the metrics and reports them
// as events, at most one for each limit in limitReportInterval.
type limitReports struct {
	scope tally.Scope

	mu      sync.Mutex
	watched []*watchedLimit
	last    time.Duration
}

type watchedLimit struct {
	event    *events.Event
	name     string
	count    func() uint64
	counter  tally.Counter
	reported uint64
}

// watch adds a limit. count returns the cases since the start.
func (r *limitReports) watch(e *events.Event, name string, count func() uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watched = append(r.watched, &watchedLimit{event: e, name: name, count: count, counter: r.scope.Counter(name)})
}

// report reports the cases since the last report, if that is due.
func (r *limitReports) report(now time.Duration, recorder events.Recorder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now-r.last < limitReportInterval {
		return
	}
	r.last = now
	for _, w := range r.watched {
		n := w.count()
		if n == w.reported {
			continue
		}
		w.counter.Inc(int64(n - w.reported))
		recorder.Record(w.event, events.F("limit", w.name), events.F("cases", n-w.reported))
		w.reported = n
	}
}
