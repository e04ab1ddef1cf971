package static

import "cmp"

// Limits holds the resource limits of one entry.
type Limits struct {
	MaxHeaderBytes int `json:"maxHeaderBytes"` // default 16384
	MaxConnections int `json:"maxConnections"` // default 4096; connections from callers
	HeaderReadMS   int `json:"headerReadMs"`   // default 5000
	BodyReadMS     int `json:"bodyReadMs"`     // default 10000
	IdleMS         int `json:"idleMs"`         // default 60000; idle connections from callers
	MaxClaims      int `json:"maxClaims"`      // default 200000
	RequestRecords int `json:"requestRecords"` // default 50000
	AuditRecords   int `json:"auditRecords"`   // default 5000
	GCPercent      int `json:"gcPercent"`      // default 100; heap growth before a garbage collection, in percent of the live heap, as GOGC
	MaxTreeBytes   int `json:"maxTreeBytes"`   // default 1048576
	// BodyMemoryBytes is the memory that the bodies of all requests of callers may hold
	// together; default 268435456. Requests wait for it, or are refused as not run.
	BodyMemoryBytes int `json:"bodyMemoryBytes"`
	// ReplayBytes is the memory for responses that are kept for the repetition of requests
	// with a key; default 67108864.
	ReplayBytes int `json:"replayBytes"`
	// HeadMemoryBytes is the memory that heads of requests above 4 KiB may hold together.
	// Default a sixteenth of BodyMemoryBytes, because reused buffers take as much again; at least that of two heads of MaxHeaderBytes.
	HeadMemoryBytes int `json:"headMemoryBytes"`
	// ResponseMemoryBytes is the memory that parts of responses above 4 KiB may hold
	// together until callers take them. Default an eighth of BodyMemoryBytes.
	ResponseMemoryBytes int `json:"responseMemoryBytes"`
	ResponseStallMS     int `json:"responseStallMs"` // default 3000; a part of a response that the caller does not take for so long ends it
	SendBufferBytes     int `json:"sendBufferBytes"` // default 65536; of the kernel, for each connection of a caller
	// ReceiveBufferBytes is the same for what a caller has sent and the entry not read yet;
	// default 65536.
	ReceiveBufferBytes int `json:"receiveBufferBytes"`
	MaxPeerHandshakes  int `json:"maxPeerHandshakes"` // default 128; connections to the peer listener whose first call has not shown the secret
	PeerHandshakeMS    int `json:"peerHandshakeMs"`   // default 5000; such a connection is closed after this time
	// MemoryBytes is the memory of the instance; collections of garbage are more frequent
	// near it, and the other limits are lowered so that they fit in it together. Default 0:
	// unknown.
	MemoryBytes int `json:"memoryBytes"`
	// MaxDescriptors is the number of file descriptors of the process. Default 0: unknown.
	MaxDescriptors int `json:"maxDescriptors"`
	// CallerMemoryBytes bounds the bodies and the connections of callers together, each of
	// which counts as ConnectionBytes. Default 0: no bound, or a share of MemoryBytes.
	CallerMemoryBytes int `json:"callerMemoryBytes"`
	// MaxHandoffConnections is the number of connections for requests that peers hand on;
	// default 512.
	MaxHandoffConnections int `json:"maxHandoffConnections"`
}

// Parts of the memory for bodies that are the defaults of the other memories.
const (
	defaultHeadShare     = 16
	defaultResponseShare = 8
)

// ResponseMemory returns the memory for responses in bytes.
func (l *Limits) ResponseMemory() int64 {
	return int64(cmp.Or(l.ResponseMemoryBytes, l.BodyMemoryBytes/defaultResponseShare))
}

// HeadMemory returns the memory for heads in bytes.
func (l *Limits) HeadMemory() int64 {
	return int64(max(cmp.Or(l.HeadMemoryBytes, l.BodyMemoryBytes/defaultHeadShare), 2*l.MaxHeaderBytes))
}

// ConnectionBytes is the most memory that a connection of a caller needs besides what is
// counted for its request: 25 KB for itself (docs/CAPACITY.md), and a head, a body and a part
// of a response below the sizes from which they are counted.
const ConnectionBytes = 62_000

// Shares of the memory of the instance. They leave it the memory that it needs without
// callers.
const (
	callerShare     = 0.52 // connections and bodies
	connectionShare = 0.45 // connections, of the share for both
	bodyShare       = 0.5  // bodies, of the share for both
	headShare       = 0.06
	responseShare   = 0.03
	replayShare     = 0.01
	claimShare      = 0.01
	recordShare     = 0.01 // request records
)

// Sizes of what is counted by number, in bytes.
const (
	claimBytes  = 280
	recordBytes = 1000
)

// Shares of the descriptors of the instance. The rest is for files, backend servers, peers
// and operators.
const (
	callerDescriptorShare  = 0.6
	handoffDescriptorShare = 0.1
)

// FitMachine lowers the limits that exceed their share of the memory and of the descriptors
// of the instance, as far as these are known.
func (l *Limits) FitMachine() {
	if n := float64(l.MaxDescriptors); n > 0 {
		lower(&l.MaxConnections, callerDescriptorShare*n)
		lower(&l.MaxHandoffConnections, handoffDescriptorShare*n)
	}
	n := float64(l.MemoryBytes)
	if n == 0 {
		return
	}
	lower(&l.MaxConnections, connectionShare*n/ConnectionBytes)
	lower(&l.CallerMemoryBytes, callerShare*n)
	lower(&l.BodyMemoryBytes, bodyShare*n)
	lower(&l.HeadMemoryBytes, headShare*n)
	lower(&l.ResponseMemoryBytes, responseShare*n)
	lower(&l.ReplayBytes, replayShare*n)
	lower(&l.MaxClaims, claimShare*n/claimBytes)
	lower(&l.RequestRecords, recordShare*n/recordBytes)
}

// lower sets a limit to most if it is unset or above it.
func lower(limit *int, most float64) {
	if m := max(1, int(most)); *limit == 0 || *limit > m {
		*limit = m
	}
}
