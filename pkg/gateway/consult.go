package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"lentilpin/pkg/measure"
	"lentilpin/pkg/routing"
)

const (
	// nearPatience and farPatience bound how long a decision waits for the loads
	// that it asked for in the own failure domain and in others. They cover
	// the round trip, the reply and some wait for the processor on both sides.
	nearPatience = 10 * time.Millisecond
	farPatience  = 40 * time.Millisecond
	// typicalAsked is the number of backend servers asked at once by default.
	typicalAsked = 4
)

// consult asks the backend servers that the policy wants to know more about
// before it decides: some of the own failure domain, then, where they promise too
// little, others of it, then those of other failure domains.
func (c *call) consult(ctx context.Context, exclude []*routing.Server) {
	if !c.svc.set.Asks() || rand.Float64() >= c.svc.questionShare() {
		return
	}
	c.svc.decisions.Add(1)
	var room [typicalAsked]*routing.Server
	for round := range routing.Rounds {
		patience := nearPatience
		if round == routing.Far {
			patience = farPatience
		}
		c.svc.askAll(ctx, c.svc.set.Ask(c.g.now(), round, exclude, room[:0]), patience)
	}
}

// questionShare is the share of decisions before which the budget allows
// questions.
func (s *service) questionShare() float64 {
	asked := float64(s.questions.Load()) / float64(max(1, s.decisions.Load()))
	return measure.QuestionShare(s.settings.Load().Measuring.QuestionsPerBackend, asked, s.set.MeanLoad(), s.set.MeanLatency())
}

// askAll asks backend servers for their load and waits until all have replied,
// at most for patience. A question that another request has begun is waited for as
// well. Replies that come later still count for later decisions.
func (s *service) askAll(ctx context.Context, servers []*routing.Server, patience time.Duration) {
	if len(servers) == 0 {
		return
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	var room [typicalAsked]<-chan struct{}
	replies := room[:0]
	for _, server := range servers {
		replied, isNew := server.Ask()
		if isNew {
			s.questions.Add(1)
			s.background.Go(func() { s.askLoad(server) })
		}
		replies = append(replies, replied)
	}
	for _, replied := range replies {
		select {
		case <-replied:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// askLoad asks one backend server for its load.
func (s *service) askLoad(server *routing.Server) {
	_, signals := s.ask(context.Background(), server, s.settings.Load().Paths.Load)
	server.Replied(s.now(), signals.HasReport)
	s.asked.Inc(1)
}
