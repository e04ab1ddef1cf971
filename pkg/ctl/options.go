package ctl

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"lentilpin/pkg/buildinfo"
	"lentilpin/pkg/config/schema"
	"lentilpin/pkg/operator"
)

// CredentialVariable is the environment variable from which the credential is read.
const CredentialVariable = "LENTILPINCTL_CREDENTIAL"

const (
	defaultTimeout = 3 * time.Second
	defaultMinutes = 60
	defaultLimit   = 1000
)

//go:embed settings.schema.json
var settingsSchemaText []byte

var settingsSchema = schema.New("lentilpinctl.json", settingsSchemaText, "credential")

// Options holds the parsed command line of lentilpinctl.
type Options struct {
	Command    string
	Arguments  []string
	Entries    []string // operator addresses
	Credential string
	Timeout    time.Duration // for each entry; default 3 s
	Minutes    int           // period of refusals; default 60
	After      uint64        // sequence number after which audit starts; default 0
	Limit      int           // maximum number of changes of audit, per entry; default 1000
	JSON       bool
}

// command is one subcommand with the names of its arguments. An argument in
// brackets is optional.
type command struct {
	name, description string
	arguments         []string
	local             bool // queries no entry
}

var commands = []command{
	{"request", "what happened to a request", []string{"ID"}, false},
	{"refusals", "what was refused in the last minutes, by reason", nil, false},
	{"backend", "why backend servers of a service get little work", []string{"SERVICE", "[ADDRESS]"}, false},
	{"settings", "settings of a service in force and the origin of each value", []string{"SERVICE"}, false},
	{"instances", "which versions are in force, since when, and who is ready", nil, false},
	{"draining", "which backend servers are draining", nil, false},
	{"measuring", "cost of measuring against its budget", nil, false},
	{"hedges", "hedged requests against their budgets", nil, false},
	{"audit", "what the instances changed on their own or adopted", nil, false},
	{"explain", "the story of a request from log lines, on standard input or in FILE", []string{"ID", "[FILE]"}, true},
	{"check", "check a settings tree before publishing it", []string{"TREE"}, true},
	{"diff", "what a new settings tree changes for each service", []string{"OLD", "NEW"}, true},
}

// flags holds the values of the flags before validation.
type flags struct {
	entries, settings, credentialFile string
	timeout                           time.Duration
	minutes, limit                    int
	after                             uint64
	json                              bool
}

// ParseArgs parses the command line without the name of the program. flaggy ends
// the process on invalid flags, with exit code 2, and on --help and --version. An
// error is about invalid values or files and stands for exit code 2 as well.
func ParseArgs(args []string) (*Options, error) {
	f := flags{timeout: defaultTimeout, minutes: defaultMinutes, limit: defaultLimit}
	p := flaggy.NewParser("lentilpinctl")
	p.Description = "asks entries what they did, refused and why; checks and compares settings trees"
	p.Version = buildinfo.Version
	p.AdditionalHelpAppend = "Exit codes: 0 done, 1 failed, 2 wrong flags or settings, 4 some entries did not answer, 5 nobody knows what was asked for."
	p.String(&f.entries, "e", "entries", "operator addresses of the entries to ask, separated by commas")
	p.String(&f.settings, "s", "settings", "settings file (JSON) with entries and credential or credentialFile")
	p.String(&f.credentialFile, "c", "credential-file", "file that holds the operator credential; otherwise "+CredentialVariable+" or the settings file")
	p.Duration(&f.timeout, "t", "timeout", "time that each entry has to answer")
	p.Bool(&f.json, "j", "json", "JSON for programs instead of text")
	subcommands := make([]*flaggy.Subcommand, len(commands))
	positionals := make([][]string, len(commands))
	for i, c := range commands {
		subcommands[i] = flaggy.NewSubcommand(c.name)
		subcommands[i].Description = c.description
		positionals[i] = make([]string, len(c.arguments))
		for j, a := range c.arguments {
			name := strings.Trim(a, "[]")
			subcommands[i].AddPositionalValue(&positionals[i][j], name, j+1, name == a, strings.ToLower(name))
		}
		switch c.name {
		case "refusals":
			subcommands[i].Int(&f.minutes, "m", "minutes", fmt.Sprintf("how far back, up to %d", operator.MaxRefusalMinutes))
		case "audit":
			subcommands[i].UInt64(&f.after, "a", "after", "only entries with a higher sequence number")
			subcommands[i].Int(&f.limit, "l", "limit", fmt.Sprintf("most entries of one instance, up to %d", operator.MaxAuditChanges))
		}
		p.AttachSubcommand(subcommands[i], 1)
	}
	if err := p.ParseArgs(args); err != nil {
		return nil, err
	}
	for i, c := range commands {
		if subcommands[i].Used {
			return f.options(c, positionals[i])
		}
	}
	return nil, errors.New("no command given; --help lists them")
}

func (f *flags) options(c command, arguments []string) (*Options, error) {
	o := &Options{
		Command: c.name, Timeout: f.timeout, Minutes: f.minutes, After: f.after, Limit: f.limit, JSON: f.json,
	}
	for _, a := range arguments {
		if a != "" {
			o.Arguments = append(o.Arguments, a)
		}
	}
	if c.local {
		return o, nil
	}
	switch {
	case f.timeout <= 0:
		return nil, errors.Errorf("--timeout: value %s: must be above 0", f.timeout)
	case f.minutes < 1 || f.minutes > operator.MaxRefusalMinutes:
		return nil, errors.Errorf("--minutes: value %d: must be from 1 to %d", f.minutes, operator.MaxRefusalMinutes)
	case f.limit < 1 || f.limit > operator.MaxAuditChanges:
		return nil, errors.Errorf("--limit: value %d: must be from 1 to %d", f.limit, operator.MaxAuditChanges)
	}
	if f.entries != "" {
		o.Entries = strings.Split(f.entries, ",")
	}
	if err := f.readCredential(o); err != nil {
		return nil, err
	}
	if len(o.Entries) == 0 {
		return nil, errors.New("no entries to ask; use --entries or --settings")
	}
	for _, e := range o.Entries {
		if _, _, err := net.SplitHostPort(e); err != nil {
			return nil, errors.Errorf("--entries: value %q: must be IP:port", e)
		}
	}
	if o.Credential == "" {
		return nil, errors.Errorf("no credential; use --credential-file, %s or --settings", CredentialVariable)
	}
	return o, nil
}

// readCredential sets the credential, and the entries if only the settings file
// names them. No error contains the credential.
func (f *flags) readCredential(o *Options) error {
	o.Credential = os.Getenv(CredentialVariable)
	file := f.credentialFile
	if f.settings != "" {
		var s struct {
			Entries                    []string
			Credential, CredentialFile string
		}
		text, err := os.ReadFile(f.settings)
		if err != nil {
			return errors.Wrap(err, "--settings")
		}
		if _, err := settingsSchema.Check(text); err != nil {
			return errors.Wrap(err, f.settings)
		}
		if err := json.Unmarshal(text, &s); err != nil {
			return errors.Wrap(err, f.settings)
		}
		if len(o.Entries) == 0 {
			o.Entries = s.Entries
		}
		if o.Credential == "" && file == "" {
			o.Credential, file = s.Credential, s.CredentialFile
		}
	}
	if file == "" {
		return nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "credential file")
	}
	o.Credential = strings.TrimSpace(string(text))
	return nil
}
