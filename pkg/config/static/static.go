// Package static reads the settings file of one entry. The file holds the
// settings that belong to this entry and do not change while it runs: names,
// addresses, secrets and limits. All other settings come from the published
// settings tree, see package dynamic.
package static

import (
	_ "embed"
	"encoding/json"
	"net/netip"
	"os"

	"github.com/go-faster/errors"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/config/schema"
)

//go:embed schema.json
var schemaText []byte

var fileSchema = schema.New("entry.json", schemaText, "secrets")

// Settings is the content of the settings file of one entry. Fields with the
// suffix MS are in milliseconds.
type Settings struct {
	Instance      string   `json:"instance"`
	Region        string   `json:"region"`
	FailureDomain string   `json:"failureDomain"`
	Ordinal       int      `json:"ordinal"` // from 0; unique among the running instances
	Listen        Listen   `json:"listen"`
	Platform      string   `json:"platform"` // base URL of the platform
	SeedPeers     []string `json:"seedPeers"`
	Secrets       Secrets  `json:"secrets"`
	Limits        Limits   `json:"limits"`
	Shutdown      Shutdown `json:"shutdown"`
	OnUnconfirmed string   `json:"onUnconfirmed"` // wait or serve while the settings are unconfirmed; default wait
	// PlatformConfirms states that reads of the configuration service are
	// linearizable, so that a single read confirms a version; default false.
	PlatformConfirms bool   `json:"platformConfirms"`
	LogLevel         string `json:"logLevel"` // default info
	// FirstStart states that the whole system starts for the first time, so that
	// no caller waits for this instance yet. Only the platform adapter sets it.
	FirstStart bool `json:"-"`
	// EvacuationMS is the time in milliseconds in which an evacuation must take effect; 0:
	// that of package feed.
	EvacuationMS int `json:"-"`
	// Callers applies until the first settings tree is in force.
	Callers dynamic.Callers `json:"-"`
}

// Listen holds the addresses of the listeners, each as IP:port.
type Listen struct {
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
	Requests  string `json:"requests"`  // requests that peers hand on; default empty: none are accepted
	Ready     string `json:"ready"`     // readiness checks of the platform's load balancer; default empty: no listener
	ReadyPath string `json:"readyPath"` // default /readyz
}

// Secrets holds the secrets of one entry. They are never written to a log or an
// error message.
type Secrets struct {
	KeySigning []string `json:"keySigning"` // the first one signs, all of them verify
	Peer       string   `json:"peer"`
	Operator   string   `json:"operator"`
}

// Shutdown holds the settings of a graceful shutdown.
type Shutdown struct {
	DrainMS int `json:"drainMs"` // default 2000; from the end of readiness to closing the listener
	GraceMS int `json:"graceMs"` // default 15000; for requests in flight
	// HandOver transfers the ledger of idempotency keys to a peer; default true.
	HandOver bool `json:"handOver"`
}

// Defaults returns the values of the settings that a file omits.
func Defaults() Settings {
	return Settings{
		OnUnconfirmed: "wait",
		LogLevel:      "info",
		Limits: Limits{
			MaxHeaderBytes: 16384, MaxConnections: 4096, HeaderReadMS: 5000, BodyReadMS: 10000,
			IdleMS: 60000, MaxClaims: 200000, RequestRecords: 50000, AuditRecords: 5000, GCPercent: 100, MaxTreeBytes: 1 << 20, BodyMemoryBytes: 256 << 20,
			ResponseStallMS: 3000, ReplayBytes: 64 << 20, MaxHandoffConnections: 512, MaxPeerHandshakes: 128, PeerHandshakeMS: 5000, SendBufferBytes: 64 << 10, ReceiveBufferBytes: 64 << 10,
		},
		Shutdown: Shutdown{DrainMS: 2000, GraceMS: 15000, HandOver: true},
		Listen:   Listen{ReadyPath: "/readyz"},
	}
}

// Load reads and validates a settings file. The error is a *schema.Error if the
// content breaks a rule.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings file")
	}
	return Parse(text)
}

// Parse validates the text of a settings file and fills in the defaults. The
// error is a *schema.Error, with path, value and rule, if the text breaks a rule.
func Parse(text []byte) (*Settings, error) {
	if _, err := fileSchema.Check(text); err != nil {
		return nil, err
	}
	s := Defaults()
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, errors.Wrap(err, "parse settings file")
	}
	for path, addr := range map[string]string{
		"/listen/callers": s.Listen.Callers, "/listen/peers": s.Listen.Peers, "/listen/operators": s.Listen.Operators,
	} {
		// Host names are refused because the addresses are part of idempotency
		// keys and of the messages that peers exchange.
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, &schema.Error{Violations: []schema.Violation{{Path: path, Value: addr, Rule: err.Error()}}}
		}
	}
	s.Limits.FitMachine()
	return &s, nil
}
