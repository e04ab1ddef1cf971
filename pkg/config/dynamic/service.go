package dynamic

import (
	"slices"
	"time"
)

// Service holds the resolved settings of one service. Fields with the suffix MS
// are in milliseconds.
type Service struct {
	TimeoutMS         int      `json:"timeoutMs"`         // default 2000; upper bound of a caller's deadline
	AttemptTimeoutMS  int      `json:"attemptTimeoutMs"`  // default 1000; time limit of one attempt of an idempotent request
	MaxBodyBytes      int64    `json:"maxBodyBytes"`      // default 1048576; limit of a request body
	IdempotentMethods []string `json:"idempotentMethods"` // default GET, HEAD, OPTIONS
	RequireKey        bool     `json:"requireKey"`        // default true; a non-idempotent request must carry an issued idempotency key
	Slots             int      `json:"slots"`             // default 6; requests that a backend server runs concurrently
	InstanceCeiling   int      `json:"instanceCeiling"`   // default 40; maximum number of running entries, replacements included

	Keys        Keys        `json:"keys"`
	Queue       Queue       `json:"queue"`
	Admission   Admission   `json:"admission"`
	Connections Connections `json:"connections"`
	Routing     Routing     `json:"routing"`
	Measuring   Measuring   `json:"measuring"`
	Retry       Retry       `json:"retry"`
	Outlier     Outlier     `json:"outlier"`
	Quarantine  Quarantine  `json:"quarantine"`
	Headers     Headers     `json:"headers"`
	Responses   Responses   `json:"responses"`
	Paths       Paths       `json:"paths"`
	Warmup      Warmup      `json:"warmup"`
}

// Warmup holds the limit on requests to a backend server that is cold, which is
// for some time after its start and whenever it states so. Without a limit it
// gets requests as a slow one.
type Warmup struct {
	// PerSecond is the number of requests per second, from all entries together,
	// that a cold backend server tolerates; default 0, which sets no limit.
	PerSecond float64 `json:"perSecond"`
	// Seconds is how long a backend server is cold at most after its start; default 0:
	// not stated. It bounds what the instance list states, which another writer may
	// have written.
	Seconds float64 `json:"seconds"`
	// Overshoot and Slack bound the requests in any one second, from all entries
	// together, to PerSecond * Overshoot + Slack; default 1.5 and 8.
	Overshoot float64 `json:"overshoot"`
	Slack     float64 `json:"slack"`
}

// Keys holds the settings of idempotency keys.
type Keys struct {
	LifetimeMS     int `json:"lifetimeMs"`     // default 600000; from issue to expiry
	GrantMS        int `json:"grantMs"`        // default 2000; from claim to dispatch
	ClaimMS        int `json:"claimMs"`        // default 500; time to wait for the owner's reply to a claim
	ReplayMaxBytes int `json:"replayMaxBytes"` // default 4096; longest response body that is kept for replay
}

// Queue holds the settings of the request queue of an entry.
type Queue struct {
	MaxRequests int `json:"maxRequests"` // default 256
	MaxWaitMS   int `json:"maxWaitMs"`   // default 100
	// AdaptiveLimit lowers the limit of concurrent attempts at a backend server
	// when its latency grows; default true. With false the limit is
	// ConnectionsPerInstance, for services whose load reports show the
	// utilization of a backend server.
	AdaptiveLimit bool `json:"adaptiveLimit"`
}

// Admission holds the settings of admission by priority. They have an effect only where
// the routes of a service state different priorities.
type Admission struct {
	ByPriority bool `json:"byPriority"` // default true
	// HeadroomRatio is the share of a backend server's range of load, up to
	// Routing.MaxLatencyRatio, that the least urgent requests leave to more urgent ones;
	// default 0.8.
	HeadroomRatio float64 `json:"headroomRatio"`
	// MaxWaitRatio is the longest wait in the queue as a share of the time to the
	// deadline; default 0.5. Queue.MaxWaitMS is allowed in any case.
	MaxWaitRatio float64 `json:"maxWaitRatio"`
}

// Connections holds the settings of connections to backend servers.
type Connections struct {
	PerBackend int `json:"perBackend"` // default 250; connections to one backend server, summed over all entries
	DialMS     int `json:"dialMs"`     // default 250; time to establish a connection
	IdleMS     int `json:"idleMs"`     // default 5000; idle time after which a connection is closed
	SilentMS   int `json:"silentMs"`   // default 1000; time without the first byte of a response after which a connection is suspect
}

// ConnectionsPerInstance returns the number of connections that one entry may
// hold to one backend server, at least 1. If there are more entries than
// connections, package subset assigns each backend server to a subset of the
// entries.
func (s *Service) ConnectionsPerInstance() int {
	return max(1, s.Connections.PerBackend/s.InstanceCeiling)
}

// Routing holds the settings of the selection of backend servers.
type Routing struct {
	Policy               string  `json:"policy"`               // default lentilpin
	Choices              int     `json:"choices"`              // default 3; candidates that one decision compares
	ReportMaxAgeMS       int     `json:"reportMaxAgeMs"`       // default 100; age above which a load report justifies a probe or a load query
	CrossDomainPenaltyMS float64 `json:"crossDomainPenaltyMs"` // default 3; cost added for another failure domain, on top of its network delay
	// CrossDomainPenaltyRatio is the cost that the policy fresh adds for another
	// failure domain, as a ratio of the usual service time; default 0.6.
	CrossDomainPenaltyRatio float64 `json:"crossDomainPenaltyRatio"`
	MaxLoadQueries          int     `json:"maxProbes"` // default 3; load queries in one round before a decision of the policy fresh
	// MaxLatencyRatio is the expected latency, as a multiple of the usual service time,
	// above which the policy fresh selects no backend server; default 4. The request
	// then waits in the queue for a better one, or is refused.
	MaxLatencyRatio float64 `json:"maxLatencyRatio"`
}

// Measuring holds the budgets for load probes and load queries, summed over all
// instances.
type Measuring struct {
	MessagesPerSecond            float64 `json:"messagesPerSecond"`            // default 200
	BytesPerSecond               float64 `json:"bytesPerSecond"`               // default 65536
	CrossDomainMessagesPerSecond float64 `json:"crossDomainMessagesPerSecond"` // default 20
	CrossDomainBytesPerSecond    float64 `json:"crossDomainBytesPerSecond"`    // default 8192
	// LoadQueriesPerBackend limits the load queries per second that the policy
	// fresh sends to one backend server, summed over all instances; default 60.
	LoadQueriesPerBackend float64 `json:"questionsPerBackend"`
}

// Retry holds the settings of retries and hedges of idempotent requests.
type Retry struct {
	MaxAttempts  int     `json:"maxAttempts"`  // default 3; includes the first attempt
	BudgetRatio  float64 `json:"budgetRatio"`  // default 0.1; retries and hedges per request
	MinPerSecond float64 `json:"minPerSecond"` // default 1; retries and hedges per second of one instance, in addition to BudgetRatio; they allow retries at low load
	Burst        int     `json:"burst"`        // default 10; largest burst of retries and hedges of one instance
	// FleetBurst limits the burst of retries and hedges of all instances together.
	// Each instance has its share of it, at least 1 and at most Burst. Default 0,
	// which sets no limit.
	FleetBurst      float64 `json:"fleetBurst"`
	Hedge           bool    `json:"hedge"`           // default true
	HedgePercentile float64 `json:"hedgePercentile"` // default 95; percentile of the service's latency after which a hedge is sent
	// HedgeRatio is the largest number of hedges per request of the service, 0 to 1;
	// default 1, which sets no limit besides BudgetRatio. 0 sends no hedges.
	HedgeRatio float64 `json:"hedgeRatio"`
	// FleetHedgeRatio is the largest number of hedges per request over all services of
	// an instance, and so of the fleet; default 1, which sets no limit. 0 sends no
	// hedges. It is meant for the defaults of the tree; a service that states another
	// value adds that much to the common limit with each request.
	FleetHedgeRatio float64 `json:"fleetHedgeRatio"`
}

// Outlier holds the settings of ejection, readmission and slow start.
type Outlier struct {
	ErrorRatio     float64 `json:"errorRatio"`     // default 0.5; ratio of failed attempts that causes ejection
	MinRequests    int     `json:"minRequests"`    // default 10; attempts needed for an evaluation
	EjectMS        int     `json:"ejectMs"`        // default 5000; duration of the first ejection, doubled with each further one
	MaxEjectMS     int     `json:"maxEjectMs"`     // default 60000; longest ejection
	MaxEjectRatio  float64 `json:"maxEjectRatio"`  // default 0.33; largest ejected share of a service's backend servers
	SlowStartMS    int     `json:"slowStartMs"`    // default 5000; time until a backend server has its full weight
	DrainHoldMS    int     `json:"drainHoldMs"`    // default 30000; time for which a drain signal is valid
	LatencyFactor  float64 `json:"latencyFactor"`  // default 5; multiple of the median latency that causes ejection
	HealthPeriodMS int     `json:"healthPeriodMs"` // default 5000; time between health checks of an ejected backend server
}

// Quarantine holds the settings of the quarantine of requests that crash backend
// servers.
type Quarantine struct {
	Breaks     int `json:"breaks"`     // default 2; failed backend servers after which a fingerprint is quarantined
	DurationMS int `json:"durationMs"` // default 60000; duration of a full quarantine, and the period over which failures count
}

// Headers holds the names of header fields between entry and backend server.
type Headers struct {
	LoadReport string `json:"loadReport"` // default endpoint-load-metrics
	State      string `json:"state"`      // default Backend-State
	// DrainingValue is the value of the field State in the responses of a backend
	// server that is leaving; default draining.
	DrainingValue string `json:"drainingValue"`

	Shed    string `json:"shed"`    // default Backend-Shed
	Timeout string `json:"timeout"` // default Request-Timeout
	// ShedValue is the value of the field Shed that proves that a request did not
	// run, valid only with status 503; default not-run. Empty accepts any value
	// with any status.
	ShedValue string `json:"shedValue"`
	// Exchange names the field that identifies one request at the backend
	// server; default Lentilpin-Exchange. A request that already carries it
	// keeps its value.
	Exchange string `json:"exchange"`
	// ExpectInstance names the field with the identity that the backend server
	// is expected to have; default empty, which sends none. A backend server
	// with another identity refuses with 421 and does not run the request.
	ExpectInstance string `json:"expectInstance"`
	// Instance names the field in which a backend server states its identity in
	// replies to load probes, load queries and health checks; default empty, which
	// skips the check.
	Instance string `json:"instance"`
	// Signature names the field that authenticates the backend server as the
	// source of the response; default empty, which requires no signature.
	Signature string `json:"signature"`
	// RateLimit names the field in which a backend server states the requests per
	// second that it accepts from all entries together, a decimal number; default
	// Backend-Rate-Limit. A response without the field states that there is no limit.
	// Empty reads none.
	RateLimit string `json:"rateLimit"`
	// Warmup names the field in which a backend server states for how many
	// milliseconds it stays cold, a decimal number; default empty, which reads none.
	// A response without the field says nothing about that. It has no effect
	// without a limit in Warmup.
	Warmup string `json:"warmup"`
}

// Load report formats.
const (
	ReportORCA   = "orca"   // text form of the Open Request Cost Aggregation format
	ReportCounts = "counts" // running and waiting requests, slots and, optionally, the slowdown in percent
)

// Responses holds the settings of responses of backend servers.
type Responses struct {
	Unframed     bool   `json:"unframed"`     // default false; accept a body that is delimited by the end of the connection
	ReportFormat string `json:"reportFormat"` // default orca
}

// Paths holds the paths at which a backend server replies to requests of the
// entry itself.
type Paths struct {
	Load   string `json:"load"`   // default /load; replies with a load report
	Health string `json:"health"` // default /health; replies with 200 or 503
}

// IsIdempotent reports whether requests with the method may be sent more than
// once.
func (s *Service) IsIdempotent(method string) bool {
	return slices.Contains(s.IdempotentMethods, method)
}

// Timeout returns the upper bound of a caller's deadline.
func (s *Service) Timeout() time.Duration { return MillisToDuration(s.TimeoutMS) }

// MillisToDuration converts a setting in milliseconds to a duration.
func MillisToDuration(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
