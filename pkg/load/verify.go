package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

const maxRunsBytes = 256 << 20

// Verification compares what callers were told with what the backend servers
// ran. Orders of other runs of the generator are left out.
type Verification struct {
	Ran               int64 `json:"ran"`      // distinct orders
	Repeated          int64 `json:"repeated"` // ran more than once
	NotRunButRan      int64 `json:"notRunButRan"`
	AnsweredButNotRun int64 `json:"answeredButNotRun"`
}

// Verify reads the runs of each order from the admin address of the backend
// stand-ins and adds the comparison to the result.
func (r *Result) Verify(ctx context.Context, admin string) error {
	if err := CheckLoopback(admin); err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/runs", nil)
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
	r.Verified = r.compare(summary.Runs)
	return nil
}

// compare counts contradictions. A statement is about the key, so not_run must
// hold for good, also if the order was sent again.
func (r *Result) compare(runs map[string]int) *Verification {
	v := &Verification{}
	for order, told := range r.told {
		n := runs[order]
		if n > 0 {
			v.Ran++
		}
		if n > 1 {
			v.Repeated++
		}
		var notRun, ran bool
		for _, t := range told {
			notRun = notRun || t == NotRun
			ran = ran || t == Answered || t == Replayed || t == Ran
		}
		if notRun && n > 0 {
			v.NotRunButRan++
		}
		if ran && n == 0 {
			v.AnsweredButNotRun++
		}
	}
	return v
}
