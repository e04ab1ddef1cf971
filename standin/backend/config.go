package backend

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Config describes one stand-in. Zero values are replaced by the defaults.
type Config struct {
	Name           string  `json:"name"`           // default: the address
	Listen         string  `json:"listen"`         // loopback address, for example 127.0.0.1:9001
	Slots          int     `json:"slots"`          // default 6
	Queue          int     `json:"queue"`          // default 64 requests; -1: none
	ServiceTime    string  `json:"serviceTime"`    // default exp:5; see ParseDistribution
	Seed           uint64  `json:"seed"`           // default 1
	BodyBytes      int     `json:"bodyBytes"`      // default 256; content of a response
	ColdMS         int     `json:"coldMs"`         // default 0; time after the start that is slower
	ColdFactor     float64 `json:"coldFactor"`     // default 4; times the service time while cold
	MaxConnections int     `json:"maxConnections"` // default 250; more are closed at once
}

// Defaults returns the values that replace zero values.
func Defaults() Config {
	return Config{
		Slots: 6, Queue: 64, ServiceTime: "exp:5", Seed: 1, BodyBytes: 256, ColdFactor: 4, MaxConnections: 250,
	}
}

func (c *Config) setDefaults() {
	d := Defaults()
	setDefault(&c.Slots, d.Slots)
	setDefault(&c.Queue, d.Queue)
	setDefault(&c.ServiceTime, d.ServiceTime)
	setDefault(&c.Seed, d.Seed)
	setDefault(&c.BodyBytes, d.BodyBytes)
	setDefault(&c.ColdFactor, d.ColdFactor)
	setDefault(&c.MaxConnections, d.MaxConnections)
	c.Queue = max(c.Queue, 0)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// LoadConfigs reads {"backends": [Config, ...]}.
func LoadConfigs(path string) ([]Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read backends file")
	}
	var file struct {
		Backends []Config `json:"backends"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, errors.Wrap(err, "parse backends file")
	}
	return file.Backends, nil
}

// Distribution draws service times. It is safe for concurrent use.
type Distribution struct {
	mu     sync.Mutex
	random *rand.Rand
	draw   func(*rand.Rand) float64 // milliseconds
}

// maxServiceTime keeps a draw from a long tail from holding a slot for good.
const maxServiceTime = 10 * time.Second

// Sample returns the next service time.
func (d *Distribution) Sample() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	ms := d.draw(d.random)
	return min(max(0, time.Duration(ms*float64(time.Millisecond))), maxServiceTime)
}

// ParseDistribution reads const:MS, uniform:LOW:HIGH, exp:MEAN or
// lognormal:MEDIAN:SIGMA, all in milliseconds except SIGMA.
func ParseDistribution(text string, seed uint64) (*Distribution, error) {
	name, rest, _ := strings.Cut(text, ":")
	var v []float64
	for _, part := range strings.Split(rest, ":") {
		f, err := strconv.ParseFloat(part, 64)
		if err != nil || !(f >= 0) || math.IsInf(f, 0) {
			return nil, errors.Errorf("service time %q: %q is not a number of 0 or more", text, part)
		}
		v = append(v, f)
	}
	d := &Distribution{random: rand.New(rand.NewPCG(seed, seed))}
	switch {
	case name == "const" && len(v) == 1:
		d.draw = func(*rand.Rand) float64 { return v[0] }
	case name == "uniform" && len(v) == 2 && v[0] <= v[1]:
		d.draw = func(r *rand.Rand) float64 { return v[0] + r.Float64()*(v[1]-v[0]) }
	case name == "exp" && len(v) == 1:
		d.draw = func(r *rand.Rand) float64 { return r.ExpFloat64() * v[0] }
	case name == "lognormal" && len(v) == 2:
		d.draw = func(r *rand.Rand) float64 { return v[0] * math.Exp(r.NormFloat64()*v[1]) }
	default:
		return nil, errors.Errorf("service time %q: want const:MS, uniform:LOW:HIGH, exp:MEAN or lognormal:MEDIAN:SIGMA", text)
	}
	return d, nil
}
