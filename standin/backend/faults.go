package backend

// Load is what a stand-in reports about itself.
type Load struct {
	Inflight  int     `json:"inflight"`
	Queued    int     `json:"queued"`
	LatencyMS float64 `json:"latencyMs"`
	Slots     int     `json:"slots"`
}

// Faults are the ways in which a stand-in misbehaves. The zero value is a
// healthy server.
type Faults struct {
	SlowFactor     float64 `json:"slowFactor,omitempty"`     // times the service time
	SlowAddMS      int     `json:"slowAddMs,omitempty"`      // added to the service time
	FailRatio      float64 `json:"failRatio,omitempty"`      // share of requests answered at once with 500
	Drain          bool    `json:"drain,omitempty"`          // states that it is leaving; still serves
	CloseAfterRead bool    `json:"closeAfterRead,omitempty"` // closes the connection in place of running the request
	CloseAfterRun  bool    `json:"closeAfterRun,omitempty"`  // runs the request, then closes the connection
	Truncate       bool    `json:"truncate,omitempty"`       // cuts the body after TruncateBytes
	TruncateBytes  int     `json:"truncateBytes,omitempty"`
	LateBytes      bool    `json:"lateBytes,omitempty"` // sends a second response LateMS after the first
	LateMS         int     `json:"lateMs,omitempty"`
	CrashOn        string  `json:"crashOn,omitempty"`  // a request with this in path, token or body crashes it
	RefuseMS       int     `json:"refuseMs,omitempty"` // refuses connections for this long after a crash; default 1000
	Health         int     `json:"health,omitempty"`   // status of GET /health, whatever the truth is
	Load           *Load   `json:"load,omitempty"`     // reported load, whatever the truth is
}

// Stats are counters since the start.
type Stats struct {
	Name            string `json:"name"`
	Address         string `json:"address"`
	Requests        int64  `json:"requests"` // on business paths
	Reads           int64  `json:"reads"`    // run to their end
	Orders          int64  `json:"orders"`   // started
	Repeated        int64  `json:"repeated"` // orders that had started before
	Shed            int64  `json:"shed"`
	Failed          int64  `json:"failed"`   // answered with 500 by a fault
	Canceled        int64  `json:"canceled"` // reads given up
	WhileDraining   int64  `json:"whileDraining"`
	Probes          int64  `json:"probes"`
	HealthChecks    int64  `json:"healthChecks"`
	Connections     int64  `json:"connections"` // open now
	MostConnections int64  `json:"mostConnections"`
	Accepted        int64  `json:"accepted"`
	Crashes         int64  `json:"crashes"`
}
