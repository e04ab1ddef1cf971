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

func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05.000") }

func formatDuration(d time.Duration) string {
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

func showRequests(w *tabwriter.Writer, replies requestReplies) {
	for _, reply := range replies {
		r := reply.Result
		printLine(w, "request %s at %s", r.RequestID, reply.entryName())
		printLine(w, "  service %s, method %s, started %s UTC, took %s", orDash(r.Service), r.Method, formatTime(r.Start), formatDuration(r.Duration))
		printLine(w, "  outcome %s, run %s, status %d, reason %s, key %s", r.Outcome, r.Run, r.Status, orDash(r.Reason), orDash(r.KeyState))
		if r.Admission != nil {
			printLine(w, "  %s", describeAdmission(r.Admission))
		}
		if len(r.Attempts) == 0 {
			printLine(w, "  no attempt was sent to a backend server")
			continue
		}
		printLine(w, "  attempt\tbackend server\tfailure domain\tstarted after\ttook\tresult")
		for i, t := range r.Attempts {
			printLine(w, "  %d\t%s\t%s\t%s\t%s\t%s", i+1, t.Backend, t.FailureDomain, formatDuration(t.Offset), formatDuration(t.Duration), t.Result)
		}
	}
}

// describeAdmission describes the decision by which a request was admitted or refused
// among requests of other ranks.
func describeAdmission(a *audit.Admission) string {
	return fmt.Sprintf("priority %d, rank %d: waited %.1f ms; %.0f%% of a backend server's load left to more urgent requests at %.1f requests for each slot",
		a.Priority, a.Rank, a.WaitedMS, 100*a.HeadroomRatio, a.Occupancy)
}

func showRefusals(w *tabwriter.Writer, replies refusalReplies) {
	type row struct {
		audit.RefusalCount
		entries []string
	}
	var rows []*row
	var total uint64
	from := replies[0].Result.From
	for _, a := range replies {
		if a.Result.From.Before(from) {
			from = a.Result.From
		}
		for _, c := range a.Result.Counts {
			total += c.Count
			i := slices.IndexFunc(rows, func(r *row) bool { return r.Service == c.Service && r.Reason == c.Reason && r.Run == c.Run })
			if i < 0 {
				rows = append(rows, &row{c, []string{a.entryName()}})
				continue
			}
			rows[i].Count += c.Count
			rows[i].entries = append(rows[i].entries, a.entryName())
		}
	}
	printLine(w, "%d refused since %s UTC at %d entries", total, formatTime(from), len(replies))
	if len(rows) == 0 {
		return
	}
	slices.SortStableFunc(rows, func(a, b *row) int { return cmp.Compare(b.Count, a.Count) })
	printLine(w, "count\tservice\treason\trun\tat")
	for _, r := range rows {
		printLine(w, "%d\t%s\t%s\t%s\t%s", r.Count, orDash(r.Service), r.Reason, r.Run, joinNames(r.entries))
	}
}

func showBackend(w *tabwriter.Writer, replies backendReplies) {
	b := replies[0].Result
	printLine(w, "backend server %s in failure domain %s as seen by %d entries", b.Address, b.FailureDomain, len(replies))
	printLine(w, "entry\tstate\tfor\tweight\tshare\tfair share\tin flight\tlimit\terrors\tlatency\tmean\treport age\tload\tmean")
	for _, reply := range replies {
		b := reply.Result
		age := "none"
		if b.HasReport {
			age = formatDuration(b.ReportAge)
		}
		printLine(w, "%s\t%s\t%s\t%.2f\t%.1f%%\t%.1f%%\t%d\t%d\t%.0f%%\t%s\t%s\t%s\t%.1f\t%.1f", reply.entryName(), formatState(b), formatDuration(b.Remaining), b.Weight,
			100*b.Share, 100*b.FairShare, b.Inflight, b.Limit, 100*b.ErrorShare, formatDuration(b.Latency), formatDuration(b.MeanLatency), age, b.EstimatedLoad, b.MeanLoad)
	}
	printLine(w, "")
	for _, reply := range replies {
		if len(reply.Result.Reasons) == 0 {
			printLine(w, "%s: nothing holds work back", reply.entryName())
		}
		for _, r := range reply.Result.Reasons {
			printLine(w, "%s: %s", reply.entryName(), r)
		}
	}
}

func formatState(b *operator.Backend) string {
	if b.StateReason == "" {
		return b.State
	}
	return b.State + " (" + b.StateReason + ")"
}

// showBackends prints one line for each backend server, summed over all entries.
func showBackends(w *tabwriter.Writer, replies backendListReplies) {
	type row struct {
		address, failureDomain string
		entries                int
		states                 map[string]int
		picks, failed          uint64
		weight                 float64
		coldLeft               time.Duration // longest of all entries
		permits                int           // entries that hold a permit
	}
	rows := map[string]*row{}
	var picks uint64
	for _, reply := range replies {
		for i := range *reply.Result {
			b := &(*reply.Result)[i]
			r := rows[b.Address]
			if r == nil {
				r = &row{address: b.Address, failureDomain: b.FailureDomain, states: map[string]int{}}
				rows[b.Address] = r
			}
			r.entries++
			r.states[formatState(b)]++
			r.picks += b.Picks
			r.failed += b.Failed
			r.weight += b.Weight
			r.coldLeft = max(r.coldLeft, b.ColdLeft)
			if b.HasPermit {
				r.permits++
			}
			picks += b.Picks
		}
	}
	printLine(w, "%d backend servers as seen by %d entries", len(rows), len(replies))
	printLine(w, "backend server\tfailure domain\tattempts\tshare\tfailed\tmean weight\tlisted at\tcold for\tpermits at\tstates")
	for _, address := range sortedKeys(rows) {
		r := rows[address]
		var states []string
		for _, s := range sortedKeys(r.states) {
			states = append(states, fmt.Sprintf("%s at %d", s, r.states[s]))
		}
		printLine(w, "%s\t%s\t%d\t%.1f%%\t%d\t%.2f\t%d of %d\t%s\t%d\t%s", r.address, r.failureDomain, r.picks, 100*float64(r.picks)/float64(max(1, picks)),
			r.failed, r.weight/float64(r.entries), r.entries, len(replies), formatDuration(r.coldLeft), r.permits, strings.Join(states, ", "))
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

// showSettings prints equal settings once, so that differences between entries are
// visible.
func showSettings(w *tabwriter.Writer, replies []EntryReply[operator.Settings]) {
	groups := map[string][]EntryReply[operator.Settings]{}
	var order []string
	for _, reply := range replies {
		text, _ := json.Marshal([]any{reply.Result.Version, reply.Result.Values})
		if groups[string(text)] == nil {
			order = append(order, string(text))
		}
		groups[string(text)] = append(groups[string(text)], reply)
	}
	if len(order) > 1 {
		printLine(w, "ENTRIES DIFFER: %d different settings are in force", len(order))
	}
	for _, key := range order {
		group := groups[key]
		s := group[0].Result
		printLine(w, "service %s of region %s, version %d", s.Service, s.Region, s.Version)
		for _, reply := range group {
			printLine(w, "  in force at %s since %s UTC, from %s", reply.entryName(), formatTime(reply.Result.Since), orDash(reply.Result.Source))
		}
		printLine(w, "path\tvalue\torigin")
		for _, v := range s.Values {
			printLine(w, "%s\t%s\t%s", v.Path, v.Value, v.Origin)
		}
	}
}

func showInstances(w *tabwriter.Writer, replies []EntryReply[operator.InstanceState]) {
	versions := map[string]int{}
	printLine(w, "entry\tfailure domain\tready\tversion\tin force since\tfrom\tconfirmed\tmembers known")
	replied := map[string]bool{}
	for _, reply := range replies {
		i := reply.Result
		replied[reply.Entry.Incarnation] = true
		versions[fmt.Sprintf("%d (%.8s)", i.Version, i.Digest)]++
		ready, confirmed := "yes", "by "+orDash(i.Confirmation)
		if !i.Ready {
			ready = "NO: " + i.Reason
		}
		if !i.Confirmed {
			confirmed = "NO: " + i.Confirmation
		}
		printLine(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%d", reply.entryName(), reply.Entry.FailureDomain, ready, i.Version, formatTime(i.Since), orDash(i.Source), confirmed, len(i.Members))
	}
	for _, v := range sortedKeys(versions) {
		printLine(w, "version %s is in force at %d of %d entries that answered", v, versions[v], len(replies))
	}
	showEvacuated(w, replies)
	otherMembers := map[string]operator.Member{}
	knownBy := map[string]int{}
	for _, reply := range replies {
		for _, m := range reply.Result.Members {
			if replied[m.Incarnation] {
				continue
			}
			knownBy[m.Incarnation]++
			if m.Version >= otherMembers[m.Incarnation].Version {
				otherMembers[m.Incarnation] = m
			}
		}
	}
	if len(otherMembers) == 0 {
		return
	}
	printLine(w, "")
	printLine(w, "other members\tpeer address\tfailure domain\tphase\tversion\tknown at")
	for _, k := range sortedKeys(otherMembers) {
		m := otherMembers[k]
		printLine(w, "%s\t%s\t%s\t%s\t%d\t%d of %d", m.Instance, m.Address, m.FailureDomain, m.Phase, m.Version, knownBy[k], len(replies))
	}
}

// showEvacuated prints one line for each evacuated failure domain.
func showEvacuated(w *tabwriter.Writer, replies []EntryReply[operator.InstanceState]) {
	knownAt, backends := map[string]int{}, map[string]int{}
	for _, reply := range replies {
		for _, d := range reply.Result.Evacuated {
			knownAt[d.FailureDomain]++
			backends[d.FailureDomain] = max(backends[d.FailureDomain], d.Backends)
		}
	}
	for _, domain := range sortedKeys(knownAt) {
		printLine(w, "failure domain %q is evacuated at %d of %d entries that answered, %d backend servers", domain, knownAt[domain], len(replies), backends[domain])
	}
}

func showDraining(w *tabwriter.Writer, replies []EntryReply[[]operator.DrainMark]) {
	type row struct {
		operator.DrainMark
		entries []string
	}
	rows := map[string]*row{}
	for _, reply := range replies {
		for _, d := range *reply.Result {
			key := d.Service + " " + d.Address
			r := rows[key]
			if r == nil {
				r = &row{DrainMark: d}
				rows[key] = r
			}
			if d.Age < r.Age {
				r.DrainMark = d
			}
			r.entries = append(r.entries, reply.entryName())
		}
	}
	printLine(w, "%d backend servers are draining as seen by %d entries", len(rows), len(replies))
	if len(rows) == 0 {
		return
	}
	printLine(w, "service\tbackend server\tnewest signal\tsource\tknown at")
	for _, key := range sortedKeys(rows) {
		r := rows[key]
		printLine(w, "%s\t%s\t%s ago\t%s\t%d of %d: %s", r.Service, r.Address, formatDuration(r.Age), r.Source, len(r.entries), len(replies), joinNames(r.entries))
	}
}

func showMeasuring(w *tabwriter.Writer, replies []EntryReply[[]operator.Measuring]) {
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
	for _, reply := range replies {
		for _, m := range *reply.Result {
			uptime := reply.Time.Sub(m.Since)
			add(m.Service+"\tall", m.All, uptime)
			add(m.Service+"\tcross domain", m.CrossDomain, uptime)
		}
	}
	printLine(w, "probes of %d entries, mean rate since each entry's start", len(replies))
	printLine(w, "service\tprobes\tsent\tper second\tbudget per second\tused\trefused")
	for _, key := range sortedKeys(rows) {
		r := rows[key]
		used := "-"
		if r.budget > 0 {
			used = fmt.Sprintf("%.1f%%", 100*r.rate/r.budget)
		}
		printLine(w, "%s\t%d\t%.2f\t%.2f\t%s\t%d", key, r.sent, r.rate, r.budget, used, r.refused)
	}
}

// showAudit merges the audit trails of all entries, sorted by the wall-clock time
// of each entry.
func showAudit(w *tabwriter.Writer, replies []EntryReply[audit.Changes]) {
	type row struct {
		audit.Change
		entry string
	}
	var rows []row
	for _, a := range replies {
		for _, c := range a.Result.Changes {
			rows = append(rows, row{c, a.entryName()})
		}
	}
	slices.SortStableFunc(rows, func(a, b row) int { return a.Time.Compare(b.Time) })
	for _, r := range rows {
		var fields []string
		for _, f := range r.Fields {
			fields = append(fields, f.Name+"="+f.Value)
		}
		printLine(w, "%s\t%s\t%d\t%d\t%s\t%s", formatTime(r.Time), r.entry, r.Sequence, r.Event, r.Name, strings.Join(fields, " "))
	}
	for _, a := range replies {
		c := a.Result
		if c.Missed > 0 {
			printLine(w, "%s: %d changes have fallen off and are only in the log stream", a.entryName(), c.Missed)
		}
		if n := len(c.Changes); n > 0 && c.Changes[n-1].Sequence < c.Last {
			printLine(w, "%s: %d more changes, use --after %d", a.entryName(), c.Last-c.Changes[n-1].Sequence, c.Changes[n-1].Sequence)
		}
	}
	printLine(w, "%d changes at %d entries", len(rows), len(replies))
}
