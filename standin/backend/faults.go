package backend

// Load is the load report of a stand-in.
type Load struct {
	Inflight  int     `json:"inflight"`
	Queued    int     `json:"queued"`
	LatencyMS float64 `json:"latencyMs"` // moving average
	Slots     int     `json:"slots"`
}

// Faults are the injected faults of a stand-in. The zero value injects none.
type Faults struct {
	SlowFactor     float64 `json:"slowFactor,omitempty"`     // factor on the service time; 0: none
	SlowAddMS      int     `json:"slowAddMs,omitempty"`      // milliseconds added to the service time
	FailRatio      float64 `json:"failRatio,omitempty"`      // fraction of requests that get 500 at once and do not run, 0 to 1
	Drain          bool    `json:"drain,omitempty"`          // reports the drain state; requests are still served
	CloseAfterRead bool    `json:"closeAfterRead,omitempty"` // closes the connection instead of running the request
	CloseAfterRun  bool    `json:"closeAfterRun,omitempty"`  // runs the request, then closes the connection without a response
	Truncate       bool    `json:"truncate,omitempty"`       // closes the connection after TruncateBytes of the response body
	TruncateBytes  int     `json:"truncateBytes,omitempty"`
	LateBytes      bool    `json:"lateBytes,omitempty"` // sends a second response LateMS milliseconds after the first
	LateMS         int     `json:"lateMs,omitempty"`
	CrashOn        string  `json:"crashOn,omitempty"`  // a request with this text in its path, token or body crashes the server
	RefuseMS       int     `json:"refuseMs,omitempty"` // time in milliseconds for which connections are refused after a crash; default 1000
	Health         int     `json:"health,omitempty"`   // overrides the status of GET /health
	Load           *Load   `json:"load,omitempty"`     // overrides the reported load
}

// Stats holds the counters since the start.
type Stats struct {
	Name            string `json:"name"`
	Address         string `json:"address"`
	Requests        int64  `json:"requests"`        // all requests except GET /load and GET /health
	Reads           int64  `json:"reads"`           // reads that ran to completion
	Orders          int64  `json:"orders"`          // orders that started to run
	Repeated        int64  `json:"repeated"`        // orders that started although they had started before
	Shed            int64  `json:"shed"`            // requests answered with "Backend-Shed: not-run"
	Failed          int64  `json:"failed"`          // requests answered with 500 because of Faults.FailRatio
	Canceled        int64  `json:"canceled"`        // reads that were abandoned
	WhileDraining   int64  `json:"whileDraining"`   // requests that arrived while draining
	Probes          int64  `json:"probes"`          // calls of GET /load
	HealthChecks    int64  `json:"healthChecks"`    // calls of GET /health
	Connections     int64  `json:"connections"`     // open connections
	MostConnections int64  `json:"mostConnections"` // highest number of open connections
	Accepted        int64  `json:"accepted"`        // accepted connections
	Crashes         int64  `json:"crashes"`
}
