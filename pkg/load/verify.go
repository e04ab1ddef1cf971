package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

const maxRunsBytes = 256 << 20

// Verification compares what callers were told with the orders that the backend
// servers ran. Orders of other runs of the generator are ignored.
type Verification struct {
	Ran               int64 `json:"ran"`      // distinct orders
	Repeated          int64 `json:"repeated"` // orders that ran more than once
	NotRunButRan      int64 `json:"notRunButRan"`
	AnsweredButNotRun int64 `json:"answeredButNotRun"`
}

// Verify reads how often each order ran from the admin address of the backend
// stand-ins and sets Verified. The address must be a loopback address.
func (r *Result) Verify(ctx context.Context, adminAddress string) error {
	if err := CheckLoopback(adminAddress); err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+adminAddress+"/runs", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "read runs")
	}
	defer resp.Body.Close()
	var summary struct {
		Runs map[string]int `json:"runs"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxRunsBytes)).Decode(&summary); err != nil {
		return errors.Wrap(err, "read runs")
	}
	r.Verified = r.countViolations(summary.Runs)
	return nil
}

// countViolations counts contradictions between the outcomes and the number of
// runs per order. An outcome applies to the key, so after not_run the order must
// never run, even if it was sent again.
func (r *Result) countViolations(runs map[string]int) *Verification {
	verification := &Verification{}
	for order, outcomes := range r.outcomes {
		count := runs[order]
		if count > 0 {
			verification.Ran++
		}
		if count > 1 {
			verification.Repeated++
		}
		var notRun, ran bool
		for _, outcome := range outcomes {
			notRun = notRun || outcome == NotRun
			ran = ran || outcome == Answered || outcome == Replayed || outcome == Ran
		}
		if notRun && count > 0 {
			verification.NotRunButRan++
		}
		if ran && count == 0 {
			verification.AnsweredButNotRun++
		}
	}
	return verification
}
