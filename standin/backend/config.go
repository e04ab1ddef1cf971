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
	Slots          int     `json:"slots"`          // concurrent requests; default 6
	Queue          int     `json:"queue"`          // most waiting requests; default 64; -1: none
	ServiceTime    string  `json:"serviceTime"`    // default exp:5; see ParseDistribution
	Seed           uint64  `json:"seed"`           // seed of the service times; default 1
	BodyBytes      int     `json:"bodyBytes"`      // size of a response body; default 256
	ColdMS         int     `json:"coldMs"`         // length of the cold period after the start; default 0
	ColdFactor     float64 `json:"coldFactor"`     // factor on the service time in the cold period; default 4
	MaxConnections int     `json:"maxConnections"` // connections above this number are closed at once; default 250
}

// Defaults returns the values that replace zero values of a Config.
func Defaults() Config {
	return Config{
		Slots: 6, Queue: 64, ServiceTime: "exp:5", Seed: 1, BodyBytes: 256, ColdFactor: 4, MaxConnections: 250,
	}
}

// setDefaults replaces zero values by the defaults and a negative queue by none.
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

// setDefault sets field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// LoadConfigs reads a JSON file of the form {"backends": [Config, ...]}.
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

// Distribution generates random service times. It is safe for concurrent use.
type Distribution struct {
	mu     sync.Mutex
	random *rand.Rand
	draw   func(*rand.Rand) float64 // returns milliseconds
}

// maxServiceTime bounds a sample from a long-tailed distribution, so that it
// cannot occupy a slot indefinitely.
const maxServiceTime = 10 * time.Second

// Sample returns the next service time, between 0 and 10 seconds.
func (d *Distribution) Sample() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	ms := d.draw(d.random)
	return min(max(0, time.Duration(ms*float64(time.Millisecond))), maxServiceTime)
}

// ParseDistribution parses const:MS, uniform:LOW:HIGH, exp:MEAN or
// lognormal:MEDIAN:SIGMA. All parameters are in milliseconds except SIGMA, the
// standard deviation of the logarithm. Equal seeds give equal samples.
func ParseDistribution(text string, seed uint64) (*Distribution, error) {
	name, rest, _ := strings.Cut(text, ":")
	var params []float64
	for _, part := range strings.Split(rest, ":") {
		f, err := strconv.ParseFloat(part, 64)
		if err != nil || !(f >= 0) || math.IsInf(f, 0) {
			return nil, errors.Errorf("service time %q: %q is not a number of 0 or more", text, part)
		}
		params = append(params, f)
	}
	d := &Distribution{random: rand.New(rand.NewPCG(seed, seed))}
	switch {
	case name == "const" && len(params) == 1:
		d.draw = func(*rand.Rand) float64 { return params[0] }
	case name == "uniform" && len(params) == 2 && params[0] <= params[1]:
		d.draw = func(r *rand.Rand) float64 { return params[0] + r.Float64()*(params[1]-params[0]) }
	case name == "exp" && len(params) == 1:
		d.draw = func(r *rand.Rand) float64 { return r.ExpFloat64() * params[0] }
	case name == "lognormal" && len(params) == 2:
		d.draw = func(r *rand.Rand) float64 { return params[0] * math.Exp(r.NormFloat64()*params[1]) }
	default:
		return nil, errors.Errorf("service time %q: want const:MS, uniform:LOW:HIGH, exp:MEAN or lognormal:MEDIAN:SIGMA", text)
	}
	return d, nil
}
