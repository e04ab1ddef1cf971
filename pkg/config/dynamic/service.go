package dynamic

import (
	"slices"
	"time"
)

// Service is the resolved settings of one service. Numbers with the suffix MS
// are milliseconds.
type Service struct {
	TimeoutMS         int      `json:"timeoutMs"`         // default 2000; upper bound of a caller's deadline
	AttemptTimeoutMS  int      `json:"attemptTimeoutMs"`  // default 1000; one attempt of an idempotent request
	MaxBodyBytes      int64    `json:"maxBodyBytes"`      // default 1048576; request body
	IdempotentMethods []string `json:"idempotentMethods"` // default GET, HEAD, OPTIONS
	RequireKey        bool     `json:"requireKey"`        // default true; a non-idempotent request needs an issued key
	Slots             int      `json:"slots"`             // default 6; concurrent requests of a backend server
	InstanceCeiling   int      `json:"instanceCeiling"`   // default 40; most entries that run at once, replacements included

	Keys        Keys        `json:"keys"`
	Queue       Queue       `json:"queue"`
	Connections Connections `json:"connections"`
	Routing     Routing     `json:"routing"`
	Measuring   Measuring   `json:"measuring"`
	Retry       Retry       `json:"retry"`
	Outlier     Outlier     `json:"outlier"`
	Quarantine  Quarantine  `json:"quarantine"`
	Headers     Headers     `json:"headers"`
	Responses   Responses   `json:"responses"`
	Paths       Paths       `json:"paths"`
}

// Keys are the settings of idempotency keys.
type Keys struct {
	LifetimeMS     int `json:"lifetimeMs"`     // default 600000; from issue to expiry
	GrantMS        int `json:"grantMs"`        // default 2000; from claim to dispatch
	ClaimMS        int `json:"claimMs"`        // default 500; wait for the owner's reply
	ReplayMaxBytes int `json:"replayMaxBytes"` // default 4096; longest answer body that is kept
}

// Queue are the settings of the queue at the entry.
type Queue struct {
	MaxRequests int `json:"maxRequests"` // default 256
	MaxWaitMS   int `json:"maxWaitMs"`   // default 100
	// AdaptiveLimit lowers the limit of attempts at a backend server when its
	// latency grows; default true. False leaves it at the connections of one
	// entry, for services whose load reports show how full a backend server is.
	AdaptiveLimit bool `json:"adaptiveLimit"`
}

// Connections are the settings of connections to backend servers.
type Connections struct {
	PerBackend int `json:"perBackend"` // default 250; over all entries
	DialMS     int `json:"dialMs"`     // default 250; time to establish a connection
	IdleMS     int `json:"idleMs"`     // default 5000; an idle connection is closed after this
	SilentMS   int `json:"silentMs"`   // default 1000; a connection without a byte is suspect after this
}

// PerInstance returns the connections that one entry may hold to one backend
// server, at least one. Where there are more entries than connections, package
// subset lets only a part of them use one backend server.
func (s *Service) PerInstance() int {
	return max(1, s.Connections.PerBackend/s.InstanceCeiling)
}

// Routing are the settings of the selection of backend servers.
type Routing struct {
	Policy               string  `json:"policy"`               // default lentilpin
	Choices              int     `json:"choices"`              // default 3; candidates of one decision
	ReportMaxAgeMS       int     `json:"reportMaxAgeMs"`       // default 100; an older report is worth a probe
	CrossDomainPenaltyMS float64 `json:"crossDomainPenaltyMs"` // default 3; price of leaving the failure domain, besides its delay
	// CrossDomainPenaltyRatio is the same price for the policy fresh, as a share
	// of the usual service time; default 0.6.
	CrossDomainPenaltyRatio float64 `json:"crossDomainPenaltyRatio"`
	MaxProbes               int     `json:"maxProbes"` // default 3; load probes before one decision of the policy fresh, per failure domain tried
}

// Measuring is the budget for load probes, summed over all instances.
type Measuring struct {
	MessagesPerSecond            float64 `json:"messagesPerSecond"`            // default 200
	BytesPerSecond               float64 `json:"bytesPerSecond"`               // default 65536
	CrossDomainMessagesPerSecond float64 `json:"crossDomainMessagesPerSecond"` // default 20
	CrossDomainBytesPerSecond    float64 `json:"crossDomainBytesPerSecond"`    // default 8192
	// QuestionsPerBackend bounds the questions of the policy fresh that all
	// instances together ask one backend server in a second; default 60.
	QuestionsPerBackend float64 `json:"questionsPerBackend"`
}

// Retry are the settings of retries and hedges of idempotent requests.
type Retry struct {
	MaxAttempts  int     `json:"maxAttempts"`  // default 3; first attempt included
	BudgetRatio  float64 `json:"budgetRatio"`  // default 0.1; retries and hedges per request
	MinPerSecond float64 `json:"minPerSecond"` // default 1; extra attempts of one instance at low load
	Burst        int     `json:"burst"`        // default 10; most extra attempts of one instance at one moment
	// FleetBurst bounds the extra attempts of all instances at one moment; each
	// holds its part, at least 1 and at most burst. Default 0, which sets no bound.
	FleetBurst      float64 `json:"fleetBurst"`
	Hedge           bool    `json:"hedge"`           // default true
	HedgePercentile float64 `json:"hedgePercentile"` // default 95; of the service's latency
}

// Outlier are the settings of ejection, readmission and slow start.
type Outlier struct {
	ErrorRatio     float64 `json:"errorRatio"`     // default 0.5; error share that ejects
	MinRequests    int     `json:"minRequests"`    // default 10; attempts before a judgement
	EjectMS        int     `json:"ejectMs"`        // default 5000; first ejection, doubled each time
	MaxEjectMS     int     `json:"maxEjectMs"`     // default 60000
	MaxEjectRatio  float64 `json:"maxEjectRatio"`  // default 0.33; share of a service's backend servers
	SlowStartMS    int     `json:"slowStartMs"`    // default 5000
	DrainHoldMS    int     `json:"drainHoldMs"`    // default 30000; a drain signal is believed for this long
	LatencyFactor  float64 `json:"latencyFactor"`  // default 5; times the median latency that ejects
	HealthPeriodMS int     `json:"healthPeriodMs"` // default 5000; time between health checks of an ejected backend server
}

// Quarantine are the settings of the containment of crash-making requests.
type Quarantine struct {
	Breaks     int `json:"breaks"`     // default 2; backend servers that broke on one fingerprint
	DurationMS int `json:"durationMs"` // default 60000
}

// Headers are the names of header fields between entry and backend server.
type Headers struct {
	LoadReport string `json:"loadReport"` // default endpoint-load-metrics
	State      string `json:"state"`      // default Backend-State
	Shed       string `json:"shed"`       // default Backend-Shed
	Timeout    string `json:"timeout"`    // default Request-Timeout
	// ShedValue is the value of the field Shed that proves that a request did not
	// run, valid on a 503 only; default not-run. Empty: any value on any status.
	ShedValue string `json:"shedValue"`
	// Exchange names the field that identifies one request at the backend
	// server; default Lentilpin-Exchange. A request that already carries it
	// keeps its value.
	Exchange string `json:"exchange"`
	// ExpectInstance names the field with the identity that the backend server
	// is expected to have; default empty, which sends none. A backend server
	// with another identity refuses with 421 and does not run the request.
	ExpectInstance string `json:"expectInstance"`
	// Instance names the field in which a backend server states its identity
	// on probes; default empty, which checks none.
	Instance string `json:"instance"`
	// Signature names the field that proves that a backend server made the
	// response; default empty, which requires none.
	Signature string `json:"signature"`
}

// Load report formats.
const (
	ReportORCA   = "orca"   // text form of the Open Request Cost Aggregation format
	ReportCounts = "counts" // running, waiting, slots and, optionally, the slowdown in percent
)

// Responses are the settings of responses of backend servers.
type Responses struct {
	Unframed     bool   `json:"unframed"`     // default false; accept a body that ends with the connection
	ReportFormat string `json:"reportFormat"` // default orca
}

// Paths are the paths at which a backend server answers the entry itself.
type Paths struct {
	Load   string `json:"load"`   // default /load; answers with a load report
	Health string `json:"health"` // default /health; 200 or 503
}

// IsIdempotent reports whether requests with this method may be sent twice.
func (s *Service) IsIdempotent(method string) bool {
	return slices.Contains(s.IdempotentMethods, method)
}

// Timeout returns the upper bound of a caller's deadline.
func (s *Service) Timeout() time.Duration { return MS(s.TimeoutMS) }

// MS converts milliseconds of a setting to a duration.
func MS(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
