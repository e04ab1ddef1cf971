package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lentilpin/pkg/audit"
	"lentilpin/standin/pipe"
)

// sentRequest is one request of the state machine and, once it has ended, the
// caller's response.
type sentRequest struct {
	token        string
	key          string // empty for an idempotent request or a request without a key
	isIdempotent bool
	done         bool
	response     response
}

// stateMachine sends requests through several gateways while backend servers
// fail. It checks every response against what the backend servers actually ran.
type stateMachine struct {
	f        *fixture
	tokens   int
	keys     map[string]string // token of a non-idempotent request -> its key
	order    []string          // tokens of non-idempotent requests in the order of first sending
	requests []*sentRequest
	pending  int
	results  chan *sentRequest
}

func (m *stateMachine) sendAsync(t *rapid.T, s *sentRequest, r *http.Request) {
	g := m.f.gateways[rapid.IntRange(0, len(m.f.gateways)-1).Draw(t, "gateway")]
	m.requests = append(m.requests, s)
	m.pending++
	go func() {
		s.response = m.f.send(g, r)
		m.results <- s
	}()
}

func (m *stateMachine) faults(t *rapid.T) {
	for i := range len(m.f.backends) {
		b := m.f.backends[fmt.Sprintf("127.0.0.1:%d", 9000+i)]
		script := rapid.SliceOfN(rapid.IntRange(0, int(pipe.FaultCount)-1), 0, 3).Draw(t, "faults")
		faults := make([]pipe.Fault, len(script))
		for i, f := range script {
			faults[i] = pipe.Fault(f)
		}
		b.SetScript(nil, faults...)
	}
}

// sized makes an upload of each request whose token has an even digit at its end.
func (m *stateMachine) sized(token string, r *http.Request) *http.Request {
	if last := token[len(token)-2]; last%2 == 0 {
		return upload(r)
	}
	return r
}

func (m *stateMachine) read(t *rapid.T) {
	m.tokens++
	token := fmt.Sprintf("read-%d.", m.tokens)
	m.sendAsync(t, &sentRequest{token: token, isIdempotent: true}, m.sized(token, read(token)))
}

func (m *stateMachine) sendOrder(t *rapid.T) {
	m.tokens++
	token := fmt.Sprintf("order-%d.", m.tokens)
	issuer := m.f.owners[rapid.IntRange(0, len(m.f.owners)-1).Draw(t, "issuer")]
	m.keys[token] = issuer.Issue(20 * time.Second)
	m.order = append(m.order, token)
	m.sendAsync(t, &sentRequest{token: token, key: m.keys[token]}, m.sized(token, order(token, m.keys[token])))
}

// resend sends a non-idempotent request again, like a caller that received no
// usable response.
func (m *stateMachine) resend(t *rapid.T) {
	if len(m.order) == 0 {
		t.Skip("no non-idempotent request sent yet")
	}
	token := rapid.SampledFrom(m.order).Draw(t, "token")
	m.sendAsync(t, &sentRequest{token: token, key: m.keys[token]}, m.sized(token, order(token, m.keys[token])))
}

func (m *stateMachine) toggleOwnerReachable(t *rapid.T) {
	i := rapid.IntRange(0, len(m.f.owners)-1).Draw(t, "owner")
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	address := fmt.Sprintf("127.0.0.1:%d", 8000+i)
	m.f.unreachableOwners[address] = !m.f.unreachableOwners[address]
}

// cutInstance cuts an instance from some backend servers, from all, or heals all cuts.
func (m *stateMachine) cutInstance(t *rapid.T) {
	if rapid.Bool().Draw(t, "heal") {
		m.f.healCuts()
		return
	}
	c := cut{hangs: rapid.Bool().Draw(t, "hangs")}
	if rapid.Bool().Draw(t, "partial") {
		c.addresses = []string{"127.0.0.1:9000", "127.0.0.1:9001", "127.0.0.1:9002"}
	}
	m.f.cutFromBackends(rapid.IntRange(0, len(m.f.gateways)-1).Draw(t, "gateway"), c)
}

func (m *stateMachine) toggleReady(t *rapid.T) {
	u := &m.f.notReady[rapid.IntRange(0, len(m.f.gateways)-1).Draw(t, "gateway")]
	u.Store(!u.Load())
}

func (m *stateMachine) wait(t *rapid.T) {
	time.Sleep(time.Duration(rapid.SampledFrom([]int{1, 50, 500, 25000}).Draw(t, "ms")) * time.Millisecond)
}

func (m *stateMachine) collect() {
	for {
		select {
		case s := <-m.results:
			s.done = true
			m.pending--
		default:
			return
		}
	}
}

// check verifies that no non-idempotent request ran more than once and that
// every response is correct.
func (m *stateMachine) check(t *rapid.T) {
	synctest.Wait()
	m.collect()
	for _, token := range m.order {
		require.LessOrEqual(t, m.f.countRuns(token), 1, "%s ran more than once", token)
	}
	for _, s := range m.requests {
		if s.done {
			m.checkResponse(t, s)
		}
	}
}

func (m *stateMachine) checkResponse(t *rapid.T, s *sentRequest) {
	r := s.response
	run := r.Header().Get(runHeader)
	if strings.HasPrefix(r.Header().Get("Content-Type"), "application/problem+json") {
		var p Problem
		require.NoError(t, json.Unmarshal(r.Body.Bytes(), &p))
		require.Equal(t, p.Run, run)
		require.NotEmpty(t, p.Reason)
		require.Equal(t, p.RequestID, r.Header().Get(requestIDHeader))
	} else if !r.broken && r.Body.Len() > 0 {
		require.True(t, strings.HasPrefix(r.Body.String(), "for "+s.token), "%s got %q", s.token, r.Body.String())
		require.Equal(t, r.Header().Get("Content-Length"), fmt.Sprint(r.Body.Len()), "%s got a body of another length than stated", s.token)
	}
	if run == "not_run" && !r.broken {
		require.Zero(t, m.f.countRuns(s.token), "%s was reported as not run", s.token)
	}
	if s.key == "" || r.broken {
		return
	}
	switch run {
	case "not_run":
	case "ran":
		require.Equal(t, 1, m.f.countRuns(s.token), "%s was reported as run", s.token)
	default:
		require.Equal(t, "unknown", run, "%s", s.token)
	}
}

// checkOutcomeCounts verifies that every request ended in exactly one outcome.
func (m *stateMachine) checkOutcomeCounts(t *rapid.T) {
	var finished uint64
	for _, g := range m.f.gateways {
		counts := g.auditLog.Totals()
		var sum uint64
		for _, o := range audit.Outcomes {
			sum += counts.RequestsByResult[o]
		}
		require.Equal(t, counts.Requests, sum)
		finished += sum
	}
	require.EqualValues(t, len(m.requests), finished)
}

// Guards against a non-idempotent request that runs twice, a refusal with a
// wrong run, a response that is incomplete or belongs to another caller, and a
// request that ends without an outcome, while backend servers and connections
// between entries fail.
func TestGatewayUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			m := &stateMachine{f: newFixtureWith(t, 3, 4, unframedTreeText), keys: map[string]string{}, results: make(chan *sentRequest, 1000)}
			defer m.f.close()
			rt.Repeat(map[string]func(*rapid.T){
				"faults": m.faults, "read": m.read, "order": m.sendOrder, "repeat": m.resend,
				"cut": m.toggleOwnerReachable, "cut backends": m.cutInstance,
				"break peers": func(*rapid.T) { m.f.breakPeerConns() }, "ready": m.toggleReady, "wait": m.wait, "": m.check,
			})
			time.Sleep(5 * time.Second)
			m.check(rt)
			require.Zero(rt, m.pending)
			m.checkOutcomeCounts(rt)
		})
	})
}
