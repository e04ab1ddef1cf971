package admission

import (
	"math"
	"sync"
	"time"
)

const (
	// countTimeConstant is the time constant with which counts decay. At one request per
	// second and rank it covers about ten requests, and it is shorter than the time in
	// which callers would notice that a kind of request is not served.
	countTimeConstant = 10 * time.Second
	// priorRequests is the number of requests that each rank is assumed to have had,
	// all admitted, so that the first refusal says little.
	priorRequests = 1
	// fullPressureOccupancy is the share of the slots occupied by more urgent work at
	// which a rank leaves its whole headroom. With half of the slots, a kind that causes a
	// fifth of the work met its target latency half as often in an overload as without.
	fullPressureOccupancy = 0.2
	// agingStartRatio and agingEndRatio are the admitted shares, relative to the mean of
	// all ranks, at which a rank begins to regain its headroom and at which it has full
	// access. Repetitions by callers count as requests, so that the share of requests that
	// are served in the end is higher.
	agingStartRatio = 0.5
	agingEndRatio   = 0.3
)

// Controller decides for the requests of one service at this instance. It is safe for
// concurrent use.
type Controller struct {
	mu       sync.Mutex
	ranks    Ranks
	headroom float64
	counts   []rankCounts // by rank
}

// rankCounts counts the decisions about requests of one rank.
type rankCounts struct {
	arrived  decayedCount
	admitted decayedCount
}

// decayedCount is a number of events of which old ones count less.
type decayedCount struct {
	value float64
	at    time.Duration
}

func (c *decayedCount) valueAt(now time.Duration) float64 {
	if now <= c.at {
		return c.value
	}
	return c.value * math.Exp(-float64(now-c.at)/float64(countTimeConstant))
}

func (c *decayedCount) add(now time.Duration) {
	c.value = c.valueAt(now) + 1
	c.at = max(c.at, now)
}

// NewController returns a controller without ranks.
func NewController() *Controller { return &Controller{} }

// Configure sets the ranks of the service and the headroom ratio (setting
// admission.headroomRatio, default 0.8). Priorities that remain in use keep their counts.
func (c *Controller) Configure(ranks Ranks, headroomRatio float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headroom = min(1, max(0, headroomRatio))
	if c.ranks.Equal(ranks) {
		return
	}
	counts := make([]rankCounts, ranks.Count())
	for i, priority := range ranks.priorities {
		if old := c.ranks.Rank(priority); old < len(c.counts) && c.ranks.priorities[old] == priority {
			counts[i] = c.counts[old]
		}
	}
	c.ranks, c.counts = ranks, counts
}

// Rank returns the rank of a priority. It returns false if all requests of the service
// are served alike.
func (c *Controller) Rank(priority int) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ranks.Rank(priority), c.ranks.Differ()
}

// Arrived records that a request of a rank has arrived.
func (c *Controller) Arrived(now time.Duration, rank int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rank < len(c.counts) {
		c.counts[rank].arrived.add(now)
	}
}

// Admitted records that a request of a rank was assigned a backend server.
func (c *Controller) Admitted(now time.Duration, rank int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rank < len(c.counts) {
		c.counts[rank].admitted.add(now)
	}
}

// Headroom returns the share of the range of load of a backend server, from idle to the
// highest load, that a request of the rank leaves to more urgent ones: 0 for the most
// urgent rank, without differing ranks and for a rank that has starved. occupancy is the
// reported number of requests for each slot.
func (c *Controller) Headroom(now time.Duration, rank int, occupancy float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ranks.Differ() || rank == 0 || rank >= len(c.counts) {
		return 0
	}
	pressure := min(1, occupancy*c.urgentShare(now, rank)/fullPressureOccupancy)
	step := float64(rank) / float64(c.ranks.Count()-1)
	return c.headroom * step * pressure * (1 - c.aging(now, rank))
}

// QueueRank returns the rank by which a request is ordered in the queue: its rank, or a
// more urgent one if its own has starved.
func (c *Controller) QueueRank(now time.Duration, rank int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rank >= len(c.counts) {
		return rank
	}
	return int(math.Round(float64(rank) * (1 - c.aging(now, rank))))
}

// urgentShare returns the share of recent arrivals of ranks that are more urgent. Without
// arrivals it is half.
func (c *Controller) urgentShare(now time.Duration, rank int) float64 {
	urgent, total := 0.5, 1.0
	for i := range c.counts {
		n := c.counts[i].arrived.valueAt(now)
		total += n
		if i < rank {
			urgent += n
		}
	}
	return urgent / total
}

// aging returns how far a rank has starved: 0 if its admitted share is near the mean of
// all ranks or above, 1 if it must have full access.
func (c *Controller) aging(now time.Duration, rank int) float64 {
	var sum float64
	for i := range c.counts {
		sum += c.counts[i].admittedShare(now)
	}
	ratio := c.counts[rank].admittedShare(now) * float64(len(c.counts)) / sum
	return min(1, max(0, (agingStartRatio-ratio)/(agingStartRatio-agingEndRatio)))
}

func (c *rankCounts) admittedShare(now time.Duration) float64 {
	return (c.admitted.valueAt(now) + priorRequests) / (c.arrived.valueAt(now) + priorRequests)
}

// ArrivalsPerAdmission returns the number of requests that arrive for each one that is
// assigned a backend server; 1 without differing ranks. In an overload callers repeat
// refused requests, and each of them may cause load queries.
func (c *Controller) ArrivalsPerAdmission(now time.Duration) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ranks.Differ() {
		return 1
	}
	arrived, admitted := float64(priorRequests), float64(priorRequests)
	for i := range c.counts {
		arrived += c.counts[i].arrived.valueAt(now)
		admitted += c.counts[i].admitted.valueAt(now)
	}
	return max(1, arrived/admitted)
}

// RankState describes the recent decisions about one rank for operators.
type RankState struct {
	Priority      int
	AdmittedShare float64
	Aging         float64
}

// State returns the state of each rank, most urgent first; none without differing ranks.
func (c *Controller) State(now time.Duration) (out []RankState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ranks.Differ() {
		return nil
	}
	for i := range c.counts {
		out = append(out, RankState{c.ranks.priorities[i], min(1, c.counts[i].admittedShare(now)), c.aging(now, i)})
	}
	return out
}
