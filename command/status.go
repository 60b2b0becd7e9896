package command

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"daisyswitch/operator"
	"daisyswitch/resource"
	"daisyswitch/settings"
)

type versionCommand struct {
	s *session
}

// Execute prints the version.
func (c *versionCommand) Execute([]string) error {
	fmt.Fprintln(c.s.out, "daisyswitch", version)
	return nil
}

type checkCommand struct {
	s    *session
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute checks the file.
func (c *checkCommand) Execute([]string) error {
	role, err := settings.CheckFile(c.Args.File)
	if err != nil {
		return &usageError{err}
	}
	fmt.Fprintf(c.s.out, "%s: right settings for role %s\n", c.Args.File, role)
	return nil
}

type statusCommand struct {
	s *session
}

// Execute prints the status of the classes, control and the entries.
func (c *statusCommand) Execute([]string) error {
	var status operator.Status
	if err := c.s.get("/v1/status", &status); err != nil {
		return err
	}
	if c.s.JSON {
		return c.s.printJSON(status)
	}
	return c.print(&status)
}

func (c *statusCommand) print(s *operator.Status) error {
	w := tabwriter.NewWriter(c.s.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "CLASS\tKIND\tTARGET\tGOT\tRUNNING\tQUEUED\tEVICTED\tFAILED")
	for _, class := range s.Classes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", class.Name, class.Kind, targetText(class), resultText(class), class.Running, class.Queued, class.Evicted, class.Failed)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(c.s.out, "\nout of service: %s\n", outDomains(s.Configuration.Domains))
	fmt.Fprintf(c.s.out, "workers: %d, %d gone; committed %s of %s\n", s.Workers, s.WorkersGone, sizeText(s.Committed), sizeText(s.Capacity))
	fmt.Fprintf(c.s.out, "control: replica %d leads in term %d, configuration version %d, log index %d\n", s.Leader, s.Term, s.Configuration.Version, s.Index)
	for _, r := range s.Replicas {
		fmt.Fprintf(c.s.out, "  replica %d at %s: %s, %d records behind\n", r.ID, r.Address, activityText(r.Active), recordsBehind(s.Index, r.Match))
	}
	for _, e := range s.Entries {
		fmt.Fprintf(c.s.out, "  entry %s in %s: version %d, heard %s ago\n", e.Name, e.Domain, e.Version, time.Duration(e.SilentMS)*time.Millisecond)
	}
	return nil
}

func targetText(c operator.ClassStatus) string {
	if c.Kind == operator.KindService {
		return fmt.Sprintf("p99 %s", time.Duration(c.TargetP99US)*time.Microsecond)
	}
	return fmt.Sprintf("%d by %02d:%02d", c.TargetVolume, c.DueMinute/60, c.DueMinute%60)
}

func resultText(c operator.ClassStatus) string {
	if c.Kind == operator.KindService {
		return fmt.Sprintf("p99 %s of %d requests", time.Duration(c.P99US)*time.Microsecond, c.Requests)
	}
	return fmt.Sprintf("%d today, %d in all", c.DoneToday, c.Done)
}

func outDomains(domains []operator.Domain) string {
	var out []string
	for _, d := range domains {
		if d.Out {
			out = append(out, d.Name)
		}
	}
	if len(out) == 0 {
		return "none"
	}
	return strings.Join(out, ", ")
}

func sizeText(s resource.Size) string {
	return fmt.Sprintf("%.1f cores, %.1f GiB, %d accelerators", float64(s.MilliCPU)/milliPerCore, float64(s.MemoryMiB)/mibPerGib, s.Accelerators)
}

func activityText(active bool) string {
	if active {
		return "active"
	}
	return "silent"
}

func recordsBehind(index, match uint64) uint64 {
	if match >= index {
		return 0
	}
	return index - match
}

type auditCommand struct {
	s     *session
	After uint64 `long:"after" value-name:"INDEX" description:"only records after this log index"`
	Limit uint64 `long:"limit" value-name:"N" default:"200" description:"at most so many records"`
}

// Execute prints a page of the audit trail.
func (c *auditCommand) Execute([]string) error {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(c.After, 10))
	query.Set("limit", strconv.FormatUint(c.Limit, 10))
	var audit operator.Audit
	if err := c.s.get("/v1/audit?"+query.Encode(), &audit); err != nil {
		return err
	}
	if c.s.JSON {
		return c.s.printJSON(audit)
	}
	if audit.Pruned > 0 {
		fmt.Fprintf(c.s.out, "%d older records are no longer kept\n", audit.Pruned)
	}
	for _, r := range audit.Records {
		fmt.Fprintf(c.s.out, "%d %s %s/%d %s %s version %d %s\n", r.Index, r.Time.Format(time.RFC3339), r.Operator, r.Sequence, r.Outcome, r.Action, r.Version, r.Reason)
		if r.Before != "" || r.After != "" {
			fmt.Fprintf(c.s.out, "    from %s\n    to   %s\n", orNone(r.Before), orNone(r.After))
		}
	}
	return nil
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
