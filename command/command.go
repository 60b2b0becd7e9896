package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"daisyswitch/operator"
	"daisyswitch/verdict"

	"github.com/jessevdk/go-flags"
)

// The exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1 // nothing was done
	ExitUsage    = 2 // the command line or a settings file is wrong
	ExitConflict = 3 // another change was made first
	ExitRefused  = 4 // the change is invalid
	ExitUnknown  = 5 // the change may have been made; repeat it with the same --sequence
)

const version = "0.1.0"

const longDescription = `A scheduler for colocated latency-critical and batch work.

Exit codes: 0 done, 1 nothing was done, 2 wrong command line or settings, 3 another change won, 4 the change was refused, 5 the change may have been made.

Example: daisyswitch --entry 127.0.0.1:7003 --operator ana class put bids --kind service --target-p99 50ms`

// session holds the global options, the output and the exit code of one command line.
type session struct {
	Entry    []string `long:"entry" env:"DAISYSWITCH_ENTRY" env-delim:"," value-name:"HOST:PORT" description:"operators' address of an entry; several, given again or with commas, are tried in turn"`
	Operator string   `long:"operator" env:"DAISYSWITCH_OPERATOR" value-name:"NAME" description:"name that changes are made under"`
	JSON     bool     `long:"json" description:"print JSON for scripts"`

	out  io.Writer
	code int
}

// commandSpec describes a command: its group ("" for none), its name, its help texts, and the options struct that executes it.
type commandSpec struct {
	group   string
	name    string
	summary string
	example string
	data    any
}

func commandSpecs(s *session) []commandSpec {
	return []commandSpec{
		{"", "entry", "Run an entry process.", "daisyswitch entry --settings examples/tibay/entry-1.json", &entryCommand{}},
		{"", "control", "Run a control process.", "daisyswitch control --settings examples/tibay/control-1.json", &controlCommand{}},
		{"", "member", "Run a control process that finds its group through seeds and calls its workers.", "daisyswitch member --settings member.json", &memberCommand{}},
		{"", "gateway", "Run a gateway, which passes callers' workflows on to control.", "daisyswitch gateway --settings gateway.json", &gatewayCommand{}},
		{"", "check-settings", "Check a settings file without starting anything.", "daisyswitch check-settings entry.json", &checkCommand{s: s}},
		{"", "version", "Print the version.", "daisyswitch version", &versionCommand{s: s}},
		{"", "status", "Print each class, its target and what it got.", "daisyswitch --entry 127.0.0.1:7003 status", &statusCommand{s: s}},
		{"", "audit", "Print the audit trail.", "daisyswitch --entry 127.0.0.1:7003 audit --after 120", &auditCommand{s: s}},
		{"class", "put", "Add or change a class and its target.", "daisyswitch class put bids --kind service --target-p99 50ms", &classPut{s: s}},
		{"class", "remove", "Remove a class.", "daisyswitch class remove bids", &removeCommand{s: s, collection: "classes"}},
		{"team", "put", "Add or change a team and its quota.", "daisyswitch team put ledger --cpu 100 --memory-gib 400", &teamPut{s: s}},
		{"team", "remove", "Remove a team.", "daisyswitch team remove ledger", &removeCommand{s: s, collection: "teams"}},
		{"domain", "out", "Take a failure domain out of service.", "daisyswitch domain out cebu", &domainPut{s: s, out: true}},
		{"domain", "in", "Put a failure domain back in service.", "daisyswitch domain in cebu", &domainPut{s: s}},
		{"job", "submit", "Submit a job.", "daisyswitch job submit --team ledger --class refunds --program refund-run --tasks 20 --cpu 1 --memory-gib 2 --expected 90s", &jobSubmit{s: s}},
		{"job", "show", "Print a job and the state of each task.", "daisyswitch job show j12", &jobShow{s: s}},
		{"job", "explain", "Print the log lines of all processes about a workflow, in chronological order.", "daisyswitch job explain 15ab3ded96258ea2 core-*.log front-*.log", &jobExplain{s: s}},
		{"job", "cancel", "Cancel a job.", "daisyswitch job cancel j12", &jobCancel{s: s}},
	}
}

// Run executes one command line and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	s := &session{out: stdout}
	parser, err := newParser(s)
	if err != nil {
		fmt.Fprintln(stderr, "daisyswitch:", err)
		return ExitUsage
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return reportError(err, stdout, stderr)
	}
	return s.code
}

func newParser(s *session) (*flags.Parser, error) {
	parser := flags.NewNamedParser("daisyswitch", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	if _, err := parser.AddGroup("Operators' options", "", s); err != nil {
		return nil, err
	}
	groups := map[string]*flags.Command{"": parser.Command}
	for _, l := range commandSpecs(s) {
		if groups[l.group] == nil {
			summary := "Commands for a " + l.group + "."
			group, err := parser.AddCommand(l.group, summary, summary+"\n\nExample: "+l.example, &struct{}{})
			if err != nil {
				return nil, err
			}
			groups[l.group] = group
		}
		long := l.summary + "\n\nExample: " + l.example
		if _, err := groups[l.group].AddCommand(l.name, l.summary, long, l.data); err != nil {
			return nil, err
		}
	}
	return parser, nil
}

// reportError prints the error of a command line, or its help text, and returns the exit code.
func reportError(err error, stdout, stderr io.Writer) int {
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, usage.Message)
			return ExitOK
		}
		fmt.Fprintln(stderr, "daisyswitch:", usage.Message)
		return ExitUsage
	}
	fmt.Fprintln(stderr, "daisyswitch:", err)
	var wrong *usageError
	if errors.As(err, &wrong) {
		return ExitUsage
	}
	var known *verdict.Error
	if errors.As(err, &known) && known.Verdict != verdict.NotRun {
		return ExitUnknown
	}
	return ExitFailed
}

// usageError is an error of the command line or of a settings file.
type usageError struct {
	err error
}

// Error returns the message of the cause.
func (e *usageError) Error() string {
	return e.err.Error()
}

// Unwrap returns the cause.
func (e *usageError) Unwrap() error {
	return e.err
}

func (s *session) client() (*operator.Client, error) {
	var entries []string
	for _, e := range s.Entry {
		entries = append(entries, strings.Split(e, ",")...)
	}
	if len(entries) == 0 {
		return nil, &usageError{errors.New("--entry HOST:PORT or DAISYSWITCH_ENTRY is required")}
	}
	return &operator.Client{Entries: entries, Operator: s.Operator, HTTP: &http.Client{}}, nil
}

func (s *session) get(path string, out any) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	return client.Get(context.Background(), path, out)
}

func (s *session) printJSON(v any) error {
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// changeOptions holds the options of a change: its sequence number and its base version.
type changeOptions struct {
	Sequence uint64 `long:"sequence" value-name:"N" description:"number of this change; give the same one again to ask for a lost answer"`
	Base     uint64 `long:"base-version" value-name:"V" description:"configuration version that the change was made from (default: the current one)"`
}

func (n changeOptions) sequence() uint64 {
	if n.Sequence != 0 {
		return n.Sequence
	}
	return uint64(time.Now().UnixMicro())
}

// changeConfiguration sends a change of the configuration, based on the current version unless another is given, and prints its result.
func (s *session) changeConfiguration(n changeOptions, method, path string, body any) error {
	client, err := s.changeClient()
	if err != nil {
		return err
	}
	if n.Base == 0 {
		var current operator.Configuration
		if err := client.Get(context.Background(), "/v1/configuration", &current); err != nil {
			return verdict.New(verdict.NotRun, "cannot read the current configuration", err)
		}
		n.Base = current.Version
	}
	return s.sendChange(client, n, method, path, body)
}

// sendJobChange sends a submission or cancellation of a job, which needs no configuration version, and prints its result.
func (s *session) sendJobChange(n changeOptions, method, path string, body any) error {
	client, err := s.changeClient()
	if err != nil {
		return err
	}
	return s.sendChange(client, n, method, path, body)
}

func (s *session) changeClient() (*operator.Client, error) {
	if s.Operator == "" {
		return nil, &usageError{errors.New("--operator NAME or DAISYSWITCH_OPERATOR is required for a change")}
	}
	return s.client()
}

func (s *session) sendChange(client *operator.Client, n changeOptions, method, path string, body any) error {
	number := operator.ChangeNumber{Sequence: n.sequence(), BaseVersion: n.Base}
	result, err := client.Change(context.Background(), method, path, number, body)
	if err != nil {
		return fmt.Errorf("change %d: %w", number.Sequence, err)
	}
	s.code = exitCode(result.Outcome)
	if s.JSON {
		return s.printJSON(result)
	}
	s.printResult(number, result)
	return nil
}

func exitCode(outcome string) int {
	switch outcome {
	case operator.OutcomeConflict:
		return ExitConflict
	case operator.OutcomeRefused:
		return ExitRefused
	}
	return ExitOK
}

func (s *session) printResult(n operator.ChangeNumber, r *operator.Result) {
	fmt.Fprintf(s.out, "%s (change %d", r.Outcome, n.Sequence)
	if r.Version != 0 {
		fmt.Fprintf(s.out, ", version %d", r.Version)
	}
	if r.Job != "" {
		fmt.Fprintf(s.out, ", job %s", r.Job)
	}
	fmt.Fprint(s.out, ")\n")
	if r.Reason != "" {
		fmt.Fprintln(s.out, "reason:", r.Reason)
	}
	if r.Outcome == operator.OutcomeConflict && r.Winner != nil {
		fmt.Fprintf(s.out, "winner: %s by %s, change %d, version %d\n", r.Winner.Action, r.Winner.Operator, r.Winner.Sequence, r.Winner.Version)
	}
}
