package routing

// Outcome is the result of one attempt as the decision code sees it.
type Outcome uint8

// Outcomes of one attempt.
const (
	Success       Outcome = iota // a response that is not an error
	ErrorResponse                // a response with an error status
	Shed                         // the backend server stated that it shed the request
	Broken                       // the connection failed or the response was cut short
	Timeout                      // no response in time
	Canceled                     // ended by this instance, for example the loser of a hedge
)
