package ctl

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"lentilpin/pkg/operator"
)

// showHedges prints one line for each service, summed over all entries. The limits are
// those of the first entry that knows the service.
func showHedges(w *tabwriter.Writer, replies []EntryReply[[]operator.Hedges]) {
	rows := map[string]*operator.Hedges{}
	for _, reply := range replies {
		for _, h := range *reply.Result {
			r := rows[h.Service]
			if r == nil {
				r = &operator.Hedges{HedgeRatio: h.HedgeRatio, FleetHedgeRatio: h.FleetHedgeRatio, Refused: map[string]uint64{}}
				rows[h.Service] = r
			}
			r.Requests += h.Requests
			r.Sent += h.Sent
			r.Won += h.Won
			r.Canceled += h.Canceled
			for reason, n := range h.Refused {
				r.Refused[reason] += n
			}
		}
	}
	printLine(w, "hedges of %d entries since each entry's start", len(replies))
	printLine(w, "service\trequests\thedges\tshare\tlimit\tlimit of all services\twon\tcanceled\tnot sent")
	for _, service := range sortedKeys(rows) {
		r := rows[service]
		var refused []string
		for _, reason := range sortedKeys(r.Refused) {
			if n := r.Refused[reason]; n > 0 {
				refused = append(refused, fmt.Sprintf("%s %d", reason, n))
			}
		}
		printLine(w, "%s\t%d\t%d\t%.2f%%\t%s\t%s\t%d\t%d\t%s", service, r.Requests, r.Sent, 100*float64(r.Sent)/float64(max(1, r.Requests)),
			formatHedgeLimit(r.HedgeRatio), formatHedgeLimit(r.FleetHedgeRatio), r.Won, r.Canceled, orDash(strings.Join(refused, ", ")))
	}
}

func formatHedgeLimit(ratio float64) string {
	if ratio >= 1 {
		return "none"
	}
	return fmt.Sprintf("%.1f%%", 100*ratio)
}
