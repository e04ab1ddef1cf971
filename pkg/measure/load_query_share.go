package measure

import "time"

// LoadQueryShare returns the share of decisions, from 0 to 1, before which an
// instance may query backend servers for their load, so that all instances
// together send at most maxPerSecond load queries per second to one backend
// server.
//
// No instance knows how many others there are. But by Little's law, a backend
// server with inProgress requests in progress, each taking latency, receives
// inProgress / latency requests per second, whichever instance sends them.
// queriesPerDecision is the mean number of load queries before each request. If
// inProgress or latency is 0, as before the first responses, every decision may
// be preceded by load queries.
func LoadQueryShare(maxPerSecond float64, queriesPerDecision, inProgress float64, latency time.Duration) float64 {
	queryRate := queriesPerDecision * inProgress / latency.Seconds()
	if latency <= 0 || queryRate <= maxPerSecond {
		return 1
	}
	return maxPerSecond / queryRate
}
