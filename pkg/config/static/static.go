// Package static reads the settings file of one entry: what is its own and
// does not change while it runs (names, addresses, secrets, bounds). All else
// comes from the published tree, see package dynamic.
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

// Settings is the settings file of one entry. Numbers with the suffix MS are
// milliseconds.
type Settings struct {
	Instance      string   `json:"instance"`
	Region        string   `json:"region"`
	FailureDomain string   `json:"failureDomain"`
	Ordinal       int      `json:"ordinal"` // unique among the instances that run at once, from 0
	Listen        Listen   `json:"listen"`
	Platform      string   `json:"platform"` // base URL of the platform
	SeedPeers     []string `json:"seedPeers"`
	Secrets       Secrets  `json:"secrets"`
	Limits        Limits   `json:"limits"`
	Shutdown      Shutdown `json:"shutdown"`
	OnUnconfirmed string   `json:"onUnconfirmed"` // default wait
	// PlatformConfirms says that reads of the configuration service are
	// linearizable, so that one of them confirms a version; default false.
	PlatformConfirms bool   `json:"platformConfirms"`
	LogLevel         string `json:"logLevel"` // default info
	// FirstStart says that the whole system starts for the first time, so that no
	// caller waits for this instance yet. Set by the platform's adapter only.
	FirstStart bool `json:"-"`
	// Callers holds towards callers until the first settings tree is in force.
	Callers dynamic.Callers `json:"-"`
}

// Listen are the addresses of the listeners, IP:port.
type Listen struct {
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
	Ready     string `json:"ready"`     // default empty, which opens none; answers the load balancer's question
	ReadyPath string `json:"readyPath"` // default /readyz
}

// Secrets never reach a log or an error message.
type Secrets struct {
	KeySigning []string `json:"keySigning"` // the first signs, all verify
	Peer       string   `json:"peer"`
	Operator   string   `json:"operator"`
}

// Limits are the bounds of one entry.
type Limits struct {
	MaxHeaderBytes int `json:"maxHeaderBytes"` // default 16384
	MaxConnections int `json:"maxConnections"` // default 4096; callers' connections
	HeaderReadMS   int `json:"headerReadMs"`   // default 5000
	BodyReadMS     int `json:"bodyReadMs"`     // default 10000
	IdleMS         int `json:"idleMs"`         // default 60000; callers' idle connections
	MaxClaims      int `json:"maxClaims"`      // default 200000
	RequestRecords int `json:"requestRecords"` // default 50000
	AuditRecords   int `json:"auditRecords"`   // default 5000
	GCPercent      int `json:"gcPercent"`      // default 100; heap growth in percent of the live heap before a collection, as GOGC
	MaxTreeBytes   int `json:"maxTreeBytes"`   // default 1048576
}

// Shutdown are the times of a graceful shutdown.
type Shutdown struct {
	DrainMS int `json:"drainMs"` // default 2000; between losing readiness and closing the listener
	GraceMS int `json:"graceMs"` // default 15000; for requests in flight
	// HandOver gives the ledger of idempotency keys to a peer; default true.
	HandOver bool `json:"handOver"`
}

// Defaults returns the settings that hold where a file states none.
func Defaults() Settings {
	return Settings{
		OnUnconfirmed: "wait",
		LogLevel:      "info",
		Limits: Limits{
			MaxHeaderBytes: 16384, MaxConnections: 4096, HeaderReadMS: 5000, BodyReadMS: 10000,
			IdleMS: 60000, MaxClaims: 200000, RequestRecords: 50000, AuditRecords: 5000, GCPercent: 100, MaxTreeBytes: 1 << 20,
		},
		Shutdown: Shutdown{DrainMS: 2000, GraceMS: 15000, HandOver: true},
		Listen:   Listen{ReadyPath: "/readyz"},
	}
}

// Load reads and checks a settings file. The error names path, value and rule.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings file")
	}
	return Parse(text)
}

// Parse checks the text of a settings file.
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
		// Names are refused: the addresses are part of keys and of the exchange.
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, &schema.Error{Violations: []schema.Violation{{Path: path, Value: addr, Rule: err.Error()}}}
		}
	}
	return &s, nil
}
