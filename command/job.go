package command

import (
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"daisyswitch/operator"
)

type jobSubmit struct {
	s          *session
	Sequence   uint64        `long:"sequence" value-name:"N" description:"number of this change; give the same one again to ask for a lost answer"`
	Team       string        `long:"team" required:"yes" value-name:"NAME"`
	Class      string        `long:"class" required:"yes" value-name:"NAME"`
	Program    string        `long:"program" required:"yes" value-name:"NAME" description:"what the tasks run"`
	Tasks      int32         `long:"tasks" default:"1" value-name:"N"`
	Expected   time.Duration `long:"expected" value-name:"TIME" description:"run time of a task"`
	Urgent     bool          `long:"urgent" description:"start before all other work"`
	MinDomains int32         `long:"min-domains" value-name:"N" description:"spread over at least so many failure domains"`
	sizeOptions
}

// Execute sends the job.
func (c *jobSubmit) Execute([]string) error {
	body := operator.Job{
		Team:       c.Team,
		Class:      c.Class,
		Program:    c.Program,
		Urgent:     c.Urgent,
		Size:       c.size(),
		Tasks:      c.Tasks,
		ExpectedMS: c.Expected.Milliseconds(),
		MinDomains: c.MinDomains,
	}
	return c.s.sendJobChange(changeOptions{Sequence: c.Sequence}, http.MethodPost, "/v1/jobs", body)
}

type jobShow struct {
	s *session
	nameArgument
}

// Execute prints the job.
func (c *jobShow) Execute([]string) error {
	var status operator.JobStatus
	if err := c.s.get(c.path("jobs"), &status); err != nil {
		return err
	}
	if c.s.JSON {
		return c.s.printJSON(status)
	}
	j := status.Job
	fmt.Fprintf(c.s.out, "job %s: %s of team %s runs %s, %d tasks, submitted %s", j.ID, j.Class, j.Team, j.Program, j.Tasks, status.Submitted.Format(time.RFC3339))
	if status.Cancelled {
		fmt.Fprint(c.s.out, ", cancelled")
	}
	fmt.Fprintln(c.s.out)
	w := tabwriter.NewWriter(c.s.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "TASK\tSTATE\tATTEMPT\tWORKER\tCHECKPOINT\tEVICTED\tREASON")
	for _, t := range status.Tasks {
		fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%d\t%d\t%s\n", t.Index, t.State, t.Attempt, t.Worker, t.Checkpoint, t.Evictions, t.Reason)
	}
	return w.Flush()
}

type jobCancel struct {
	s        *session
	Sequence uint64 `long:"sequence" value-name:"N" description:"number of this change; give the same one again to ask for a lost answer"`
	nameArgument
}

// Execute sends the cancellation.
func (c *jobCancel) Execute([]string) error {
	return c.s.sendJobChange(changeOptions{Sequence: c.Sequence}, http.MethodDelete, c.path("jobs"), nil)
}
