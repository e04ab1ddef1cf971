package ctl

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"lentilpin/pkg/buildinfo"
	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/config/schema"
)

// checkReport is the JSON output of check.
type checkReport struct {
	Command    string           `json:"command"`
	File       string           `json:"file"`
	Valid      bool             `json:"valid"`
	Error      string           `json:"error,omitempty"` // where the file cannot be read or is no JSON
	Violations []violation      `json:"violations,omitempty"`
	Version    uint64           `json:"version,omitempty"`
	Services   []serviceSummary `json:"services,omitempty"`
}

type violation struct {
	Path  string `json:"path"`
	Value string `json:"value"`
	Rule  string `json:"rule"`
}

type serviceSummary struct {
	Region  string         `json:"region"`
	Service string         `json:"service"`
	Values  map[string]int `json:"values_by_origin"`
}

// load reads and checks one tree. The report says what is wrong with it.
func load(command, file string) (*dynamic.Tree, checkReport, int) {
	r := checkReport{Command: command, File: file}
	text, err := os.ReadFile(file)
	if err != nil {
		r.Error = err.Error()
		return nil, r, buildinfo.ExitFailure
	}
	tree, err := dynamic.Parse(text)
	var se *schema.Error
	switch {
	case errors.As(err, &se):
		for _, v := range se.Violations {
			r.Violations = append(r.Violations, violation(v))
		}
		return nil, r, buildinfo.ExitUsage
	case err != nil:
		r.Error = err.Error()
		return nil, r, buildinfo.ExitUsage
	}
	r.Valid, r.Version = true, tree.Version
	for _, region := range tree.Regions() {
		for _, service := range tree.Services(region) {
			values := map[string]int{}
			for _, v := range tree.Lookup(region, service).Values() {
				values[v.Origin]++
			}
			r.Services = append(r.Services, serviceSummary{region, service, values})
		}
	}
	return tree, r, buildinfo.ExitOK
}

func (r *checkReport) show(w io.Writer) {
	if r.Error != "" {
		line(w, "%s: %s", r.File, r.Error)
	}
	for _, v := range r.Violations {
		line(w, "%s: %s: value %s: %s", r.File, v.Path, v.Value, v.Rule)
	}
	if !r.Valid {
		return
	}
	line(w, "%s: version %d is valid, %d services", r.File, r.Version, len(r.Services))
	for _, s := range r.Services {
		for _, origin := range sortedKeys(s.Values) {
			line(w, "%s/%s\t%d values from\t%s", s.Region, s.Service, s.Values[origin], origin)
		}
	}
}

func check(o *Options, out io.Writer) int {
	_, r, code := load(o.Command, o.Arguments[0])
	if o.JSON {
		writeJSON(out, r)
		return code
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	r.show(w)
	_ = w.Flush()
	return code
}

// diffReport is the JSON output of diff.
type diffReport struct {
	Command    string       `json:"command"`
	OldVersion uint64       `json:"old_version"`
	NewVersion uint64       `json:"new_version"`
	Warning    string       `json:"warning,omitempty"`
	Unchanged  int          `json:"unchanged_services"`
	Changed    int          `json:"changed_services"`
	Changes    []difference `json:"changes"`
}

type difference struct {
	Kind      string `json:"kind"` // added, removed or changed
	Region    string `json:"region"`
	Service   string `json:"service"`
	Path      string `json:"path,omitempty"`
	Old       string `json:"old,omitempty"`
	New       string `json:"new,omitempty"`
	OldOrigin string `json:"old_origin,omitempty"`
	NewOrigin string `json:"new_origin,omitempty"`
}

func diff(o *Options, out io.Writer) int {
	trees := [2]*dynamic.Tree{}
	for i := range trees {
		tree, r, code := load(o.Command, o.Arguments[i])
		if code != buildinfo.ExitOK {
			if o.JSON {
				writeJSON(out, r)
			} else {
				r.show(out)
			}
			return code
		}
		trees[i] = tree
	}
	r := compare(o.Command, trees[0], trees[1])
	if o.JSON {
		writeJSON(out, r)
	} else {
		r.show(out)
	}
	return buildinfo.ExitOK
}

func compare(command string, from, to *dynamic.Tree) diffReport {
	r := diffReport{Command: command, OldVersion: from.Version, NewVersion: to.Version, Changes: []difference{}}
	switch {
	case to.Version < from.Version:
		r.Warning = fmt.Sprintf("version %d is below %d: entries that have %d will ignore it", to.Version, from.Version, from.Version)
	case to.Version == from.Version && to.Digest != from.Digest:
		r.Warning = fmt.Sprintf("both have version %d with different content: entries that have one will refuse the other", to.Version)
	}
	changed := map[string]bool{}
	for _, d := range dynamic.Diff(from, to) {
		changed[d.Region+"/"+d.Service] = true
		r.Changes = append(r.Changes, difference{string(d.Kind), d.Region, d.Service, d.Path, d.Old, d.New, d.OldOrigin, d.NewOrigin})
	}
	r.Changed = len(changed)
	for _, region := range to.Regions() {
		for _, service := range to.Services(region) {
			if !changed[region+"/"+service] {
				r.Unchanged++
			}
		}
	}
	return r
}

func (r *diffReport) show(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line(w, "version %d -> %d: %d services change, %d do not", r.OldVersion, r.NewVersion, r.Changed, r.Unchanged)
	if r.Warning != "" {
		line(w, "WARNING: %s", r.Warning)
	}
	last := ""
	for _, d := range r.Changes {
		if name := d.Region + "/" + d.Service; name != last {
			last = name
			line(w, "%s", name)
		}
		if d.Path == "" {
			line(w, "  service %s", d.Kind)
			continue
		}
		origin := "from " + orDash(d.NewOrigin)
		if d.OldOrigin != d.NewOrigin {
			origin += ", was from " + orDash(d.OldOrigin)
		}
		line(w, "  %s\t%s -> %s\t%s", d.Path, orDash(d.Old), orDash(d.New), origin)
	}
	_ = w.Flush()
}
