package measure

import "time"

// LoadQueryShare returns the share of decisions, from 0 to 1, before which an
// instance may query backend servers for their load, so that all instances
// together send at most maxPerSecond such questions per second to one backend
// server.
//
// No instance knows how many others there are. But by Little's law, a backend
// server with inProgress requests in progress, each taking latency, receives
// inProgress / latency requests per second, whichever instance sends them.
// questionsPerDecision is the mean number of questions before each request. If
// inProgress or latency is 0, as before the first responses, every decision may
// be preceded by questions.
func LoadQueryShare(maxPerSecond float64, questionsPerDecision, inProgress float64, latency time.Duration) float64 {
	questionRate := questionsPerDecision * inProgress / latency.Seconds()
	if latency <= 0 || questionRate <= maxPerSecond {
		return 1
	}
	return maxPerSecond / questionRate
}
