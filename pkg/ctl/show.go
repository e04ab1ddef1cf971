package ctl

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/operator"
)

func stamp(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05.000") }

func short(d time.Duration) string {
	switch {
	case d >= 10*time.Second:
		return d.Round(time.Second).String()
	case d >= time.Millisecond:
		return d.Round(100 * time.Microsecond).String()
	}
	return d.Round(time.Microsecond).String()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func showRequests(w *tabwriter.Writer, answers requestAnswers) {
	for _, a := range answers {
		r := a.Result
		line(w, "request %s at %s", r.RequestID, a.name())
		line(w, "  service %s, method %s, started %s UTC, took %s", orDash(r.Service), r.Method, stamp(r.Start), short(r.Duration))
		line(w, "  outcome %s, run %s, status %d, reason %s, key %s", r.Outcome, r.Run, r.Status, orDash(r.Reason), orDash(r.KeyState))
		if len(r.Attempts) == 0 {
			line(w, "  no attempt was sent to a backend server")
			continue
		}
		line(w, "  attempt\tbackend server\tfailure domain\tstarted after\ttook\tresult")
		for i, t := range r.Attempts {
			line(w, "  %d\t%s\t%s\t%s\t%s\t%s", i+1, t.Backend, t.FailureDomain, short(t.Offset), short(t.Duration), t.Result)
		}
	}
}

func showRefusals(w *tabwriter.Writer, answers refusalAnswers) {
	type row struct {
		audit.ReasonCount
		at []string
	}
	var rows []*row
	var total uint64
	from := answers[0].Result.From
	for _, a := range answers {
		if a.Result.From.Before(from) {
			from = a.Result.From
		}
		for _, c := range a.Result.Counts {
			total += c.Count
			i := slices.IndexFunc(rows, func(r *row) bool { return r.Service == c.Service && r.Reason == c.Reason && r.Run == c.Run })
			if i < 0 {
				rows = append(rows, &row{c, []string{a.name()}})
				continue
			}
			rows[i].Count += c.Count
			rows[i].at = append(rows[i].at, a.name())
		}
	}
	line(w, "%d refused since %s UTC at %d entries", total, stamp(from), len(answers))
	if len(rows) == 0 {
		return
	}
	slices.SortStableFunc(rows, func(a, b *row) int { return cmp.Compare(b.Count, a.Count) })
	line(w, "count\tservice\treason\trun\tat")
	for _, r := range rows {
		line(w, "%d\t%s\t%s\t%s\t%s", r.Count, orDash(r.Service), r.Reason, r.Run, join(r.at))
	}
}

func showBackend(w *tabwriter.Writer, answers backendAnswers) {
	b := answers[0].Result
	line(w, "backend server %s in failure domain %s as seen by %d entries", b.Address, b.FailureDomain, len(answers))
	line(w, "entry\tstate\tfor\tweight\tshare\tfair share\tin flight\tlimit\terrors\tlatency\tmean\treport age\tload\tmean")
	for _, a := range answers {
		b := a.Result
		age := "none"
		if b.HasReport {
			age = short(b.ReportAge)
		}
		line(w, "%s\t%s\t%s\t%.2f\t%.1f%%\t%.1f%%\t%d\t%d\t%.0f%%\t%s\t%s\t%s\t%.1f\t%.1f", a.name(), state(b), short(b.Remaining), b.Weight,
			100*b.Share, 100*b.FairShare, b.Inflight, b.Limit, 100*b.ErrorShare, short(b.Latency), short(b.MeanLatency), age, b.EstimatedLoad, b.MeanLoad)
	}
	line(w, "")
	for _, a := range answers {
		if len(a.Result.Reasons) == 0 {
			line(w, "%s: nothing holds work back", a.name())
		}
		for _, r := range a.Result.Reasons {
			line(w, "%s: %s", a.name(), r)
		}
	}
}

func state(b *operator.Backend) string {
	if b.StateReason == "" {
		return b.State
	}
	return b.State + " (" + b.StateReason + ")"
}

// showBackends joins the views of all entries: one line for each backend
// server.
func showBackends(w *tabwriter.Writer, answers backendsAnswers) {
	type row struct {
		address, domain string
		seen            int
		states          map[string]int
		picks, failed   uint64
		weight          float64
	}
	rows := map[string]*row{}
	var picks uint64
	for _, a := range answers {
		for i := range *a.Result {
			b := &(*a.Result)[i]
			r := rows[b.Address]
			if r == nil {
				r = &row{address: b.Address, domain: b.FailureDomain, states: map[string]int{}}
				rows[b.Address] = r
			}
			r.seen++
			r.states[state(b)]++
			r.picks += b.Picks
			r.failed += b.Failed
			r.weight += b.Weight
			picks += b.Picks
		}
	}
	line(w, "%d backend servers as seen by %d entries", len(rows), len(answers))
	line(w, "backend server\tfailure domain\tattempts\tshare\tfailed\tmean weight\tlisted at\tstates")
	for _, address := range sortedKeys(rows) {
		r := rows[address]
		var states []string
		for _, s := range sortedKeys(r.states) {
			states = append(states, fmt.Sprintf("%s at %d", s, r.states[s]))
		}
		line(w, "%s\t%s\t%d\t%.1f%%\t%d\t%.2f\t%d of %d\t%s", r.address, r.domain, r.picks, 100*float64(r.picks)/float64(max(1, picks)),
			r.failed, r.weight/float64(r.seen), r.seen, len(answers), strings.Join(states, ", "))
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// showSettings shows equal settings once, so that entries that differ stand out.
func showSettings(w *tabwriter.Writer, answers []Answer[operator.Settings]) {
	groups := map[string][]Answer[operator.Settings]{}
	var order []string
	for _, a := range answers {
		text, _ := json.Marshal([]any{a.Result.Version, a.Result.Values})
		if groups[string(text)] == nil {
			order = append(order, string(text))
		}
		groups[string(text)] = append(groups[string(text)], a)
	}
	if len(order) > 1 {
		line(w, "ENTRIES DIFFER: %d different settings are in force", len(order))
	}
	for _, key := range order {
		group := groups[key]
		s := group[0].Result
		line(w, "service %s of region %s, version %d", s.Service, s.Region, s.Version)
		for _, a := range group {
			line(w, "  in force at %s since %s UTC, from %s", a.name(), stamp(a.Result.Since), orDash(a.Result.Source))
		}
		line(w, "path\tvalue\torigin")
		for _, v := range s.Values {
			line(w, "%s\t%s\t%s", v.Path, v.Value, v.Origin)
		}
	}
}

func showInstances(w *tabwriter.Writer, answers []Answer[operator.Instances]) {
	versions := map[string]int{}
	line(w, "entry\tfailure domain\tready\tversion\tin force since\tfrom\tconfirmed\tmembers known")
	asked := map[string]bool{}
	for _, a := range answers {
		i := a.Result
		asked[a.Entry.Incarnation] = true
		versions[fmt.Sprintf("%d (%.8s)", i.Version, i.Digest)]++
		ready, confirmed := "yes", "by "+orDash(i.By)
		if !i.Ready {
			ready = "NO: " + i.Reason
		}
		if !i.Confirmed {
			confirmed = "NO: " + i.By
		}
		line(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%d", a.name(), a.Entry.FailureDomain, ready, i.Version, stamp(i.Since), orDash(i.Source), confirmed, len(i.Members))
	}
	for _, v := range sortedKeys(versions) {
		line(w, "version %s is in force at %d of %d entries that answered", v, versions[v], len(answers))
	}
	others := map[string]operator.Member{}
	known := map[string]int{}
	for _, a := range answers {
		for _, m := range a.Result.Members {
			if asked[m.Incarnation] {
				continue
			}
			known[m.Incarnation]++
			if m.Version >= others[m.Incarnation].Version {
				others[m.Incarnation] = m
			}
		}
	}
	if len(others) == 0 {
		return
	}
	line(w, "")
	line(w, "other members\tpeer address\tfailure domain\tphase\tversion\tknown at")
	for _, k := range sortedKeys(others) {
		m := others[k]
		line(w, "%s\t%s\t%s\t%s\t%d\t%d of %d", m.Instance, m.Address, m.FailureDomain, m.Phase, m.Version, known[k], len(answers))
	}
}

func showDraining(w *tabwriter.Writer, answers []Answer[[]operator.Drain]) {
	type row struct {
		operator.Drain
		at []string
	}
	rows := map[string]*row{}
	for _, a := range answers {
		for _, d := range *a.Result {
			key := d.Service + " " + d.Address
			r := rows[key]
			if r == nil {
				r = &row{Drain: d}
				rows[key] = r
			}
			if d.Age < r.Age {
				r.Drain = d
			}
			r.at = append(r.at, a.name())
		}
	}
	line(w, "%d backend servers are draining as seen by %d entries", len(rows), len(answers))
	if len(rows) == 0 {
		return
	}
	line(w, "service\tbackend server\tnewest signal\tsource\tknown at")
	for _, key := range sortedKeys(rows) {
		r := rows[key]
		line(w, "%s\t%s\t%s ago\t%s\t%d of %d: %s", r.Service, r.Address, short(r.Age), r.Source, len(r.at), len(answers), join(r.at))
	}
}

func showMeasuring(w *tabwriter.Writer, answers []Answer[[]operator.Measuring]) {
	type row struct {
		budget, rate  float64
		sent, refused uint64
	}
	rows := map[string]*row{}
	add := func(key string, p operator.ProbeBudget, uptime time.Duration) {
		r := rows[key]
		if r == nil {
			r = &row{}
			rows[key] = r
		}
		r.budget = max(r.budget, p.BudgetPerSecond)
		r.sent += p.Sent
		r.refused += p.Refused
		if uptime > 0 {
			r.rate += float64(p.Sent) / uptime.Seconds()
		}
	}
	for _, a := range answers {
		for _, m := range *a.Result {
			uptime := a.Time.Sub(m.Since)
			add(m.Service+"\tall", m.All, uptime)
			add(m.Service+"\tcross domain", m.CrossDomain, uptime)
		}
	}
	line(w, "probes of %d entries, mean rate since each entry's start", len(answers))
	line(w, "service\tprobes\tsent\tper second\tbudget per second\tused\trefused")
	for _, key := range sortedKeys(rows) {
		r := rows[key]
		used := "-"
		if r.budget > 0 {
			used = fmt.Sprintf("%.1f%%", 100*r.rate/r.budget)
		}
		line(w, "%s\t%d\t%.2f\t%.2f\t%s\t%d", key, r.sent, r.rate, r.budget, used, r.refused)
	}
}

// showAudit merges the trails in the order of the entries' wall clocks.
func showAudit(w *tabwriter.Writer, answers []Answer[audit.Changes]) {
	type row struct {
		audit.Change
		at string
	}
	var rows []row
	for _, a := range answers {
		for _, c := range a.Result.Changes {
			rows = append(rows, row{c, a.name()})
		}
	}
	slices.SortStableFunc(rows, func(a, b row) int { return a.Time.Compare(b.Time) })
	for _, r := range rows {
		var fields []string
		for _, f := range r.Fields {
			fields = append(fields, f.Name+"="+f.Value)
		}
		line(w, "%s\t%s\t%d\t%d\t%s\t%s", stamp(r.Time), r.at, r.Sequence, r.Event, r.Name, strings.Join(fields, " "))
	}
	for _, a := range answers {
		c := a.Result
		if c.Missed > 0 {
			line(w, "%s: %d changes have fallen off and are only in the log stream", a.name(), c.Missed)
		}
		if n := len(c.Changes); n > 0 && c.Changes[n-1].Sequence < c.Last {
			line(w, "%s: %d more changes, use --after %d", a.name(), c.Last-c.Changes[n-1].Sequence, c.Changes[n-1].Sequence)
		}
	}
	line(w, "%d changes at %d entries", len(rows), len(answers))
}
