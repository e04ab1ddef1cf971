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

// checkReport is the JSON output of the command check.
type checkReport struct {
	Command    string           `json:"command"`
	File       string           `json:"file"`
	Valid      bool             `json:"valid"`
	Error      string           `json:"error,omitempty"` // set if the file cannot be read or is not JSON
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
	Region         string         `json:"region"`
	Service        string         `json:"service"`
	ValuesByOrigin map[string]int `json:"values_by_origin"`
}

// loadTree reads and validates one settings tree. It returns the tree, or nil if it
// is not valid, the report and the exit code.
func loadTree(command, file string) (*dynamic.Tree, checkReport, int) {
	r := checkReport{Command: command, File: file}
	text, err := os.ReadFile(file)
	if err != nil {
		r.Error = err.Error()
		return nil, r, buildinfo.ExitFailure
	}
	tree, err := dynamic.Parse(text)
	var schemaErr *schema.Error
	switch {
	case errors.As(err, &schemaErr):
		for _, v := range schemaErr.Violations {
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
		printLine(w, "%s: %s", r.File, r.Error)
	}
	for _, v := range r.Violations {
		printLine(w, "%s: %s: value %s: %s", r.File, v.Path, v.Value, v.Rule)
	}
	if !r.Valid {
		return
	}
	printLine(w, "%s: version %d is valid, %d services", r.File, r.Version, len(r.Services))
	for _, s := range r.Services {
		for _, origin := range sortedKeys(s.ValuesByOrigin) {
			printLine(w, "%s/%s\t%d values from\t%s", s.Region, s.Service, s.ValuesByOrigin[origin], origin)
		}
	}
}

func checkTree(o *Options, out io.Writer) int {
	_, r, code := loadTree(o.Command, o.Arguments[0])
	if o.JSON {
		writeJSON(out, r)
		return code
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	r.show(w)
	_ = w.Flush()
	return code
}

// diffReport is the JSON output of the command diff.
type diffReport struct {
	Command           string       `json:"command"`
	OldVersion        uint64       `json:"old_version"`
	NewVersion        uint64       `json:"new_version"`
	Warning           string       `json:"warning,omitempty"`
	UnchangedServices int          `json:"unchanged_services"`
	ChangedServices   int          `json:"changed_services"`
	Changes           []difference `json:"changes"`
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

func diffTrees(o *Options, out io.Writer) int {
	trees := [2]*dynamic.Tree{}
	for i := range trees {
		tree, r, code := loadTree(o.Command, o.Arguments[i])
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
	r := newDiffReport(o.Command, trees[0], trees[1])
	if o.JSON {
		writeJSON(out, r)
	} else {
		r.show(out)
	}
	return buildinfo.ExitOK
}

func newDiffReport(command string, from, to *dynamic.Tree) diffReport {
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
	r.ChangedServices = len(changed)
	for _, region := range to.Regions() {
		for _, service := range to.Services(region) {
			if !changed[region+"/"+service] {
				r.UnchangedServices++
			}
		}
	}
	return r
}

func (r *diffReport) show(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printLine(w, "version %d -> %d: %d services change, %d do not", r.OldVersion, r.NewVersion, r.ChangedServices, r.UnchangedServices)
	if r.Warning != "" {
		printLine(w, "WARNING: %s", r.Warning)
	}
	lastService := ""
	for _, d := range r.Changes {
		if name := d.Region + "/" + d.Service; name != lastService {
			lastService = name
			printLine(w, "%s", name)
		}
		if d.Path == "" {
			printLine(w, "  service %s", d.Kind)
			continue
		}
		origin := "from " + orDash(d.NewOrigin)
		if d.OldOrigin != d.NewOrigin {
			origin += ", was from " + orDash(d.OldOrigin)
		}
		printLine(w, "  %s\t%s -> %s\t%s", d.Path, orDash(d.Old), orDash(d.New), origin)
	}
	_ = w.Flush()
}
