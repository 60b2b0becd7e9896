package command

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	"daisyswitch/operator"
	"daisyswitch/resource"
)

const (
	milliPerCore = 1000
	mibPerGib    = 1024
)

// nameArgument holds the positional argument NAME, which most commands take.
type nameArgument struct {
	Args struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

func (n nameArgument) path(collection string) string {
	return "/v1/" + collection + "/" + url.PathEscape(n.Args.Name)
}

type classPut struct {
	s *session
	changeOptions
	nameArgument
	Kind   string        `long:"kind" choice:"service" choice:"batch" required:"yes" description:"latency-critical or batch"`
	P99    time.Duration `long:"target-p99" value-name:"TIME" description:"service: tail latency that it must keep, such as 50ms"`
	Volume int64         `long:"volume" value-name:"N" description:"batch: tasks a day"`
	Due    string        `long:"due" value-name:"HH:MM" description:"batch: time of the day (UTC) by which the volume is due"`
}

// Execute sends the change.
func (c *classPut) Execute([]string) error {
	due, err := minuteOfDay(c.Due)
	if err != nil {
		return &usageError{err}
	}
	body := operator.Class{Kind: c.Kind, TargetP99US: c.P99.Microseconds(), TargetVolume: c.Volume, DueMinute: due}
	return c.s.changeConfiguration(c.changeOptions, http.MethodPut, c.path("classes"), body)
}

func minuteOfDay(text string) (int32, error) {
	if text == "" {
		return 0, nil
	}
	t, err := time.Parse("15:04", text)
	if err != nil {
		return 0, fmt.Errorf("--due: %q is not a time of the day as HH:MM, such as 23:00", text)
	}
	return int32(t.Hour()*60 + t.Minute()), nil
}

// sizeOptions holds the options that set the amount of each resource.
type sizeOptions struct {
	CPU          float64 `long:"cpu" value-name:"CORES" description:"processors"`
	MemoryGiB    float64 `long:"memory-gib" value-name:"GIB" description:"memory"`
	Accelerators int64   `long:"accelerators" value-name:"N" description:"accelerators"`
}

func (s sizeOptions) size() resource.Size {
	return resource.Size{
		MilliCPU:     int64(s.CPU * milliPerCore),
		MemoryMiB:    int64(s.MemoryGiB * mibPerGib),
		Accelerators: s.Accelerators,
	}
}

type teamPut struct {
	s *session
	changeOptions
	nameArgument
	sizeOptions
}

// Execute sends the change.
func (c *teamPut) Execute([]string) error {
	return c.s.changeConfiguration(c.changeOptions, http.MethodPut, c.path("teams"), operator.Team{Quota: c.size()})
}

// removeCommand is the command that deletes an item from a collection of the administration interface.
type removeCommand struct {
	s          *session
	collection string
	changeOptions
	nameArgument
}

// Execute sends the change.
func (c *removeCommand) Execute([]string) error {
	return c.s.changeConfiguration(c.changeOptions, http.MethodDelete, c.path(c.collection), nil)
}

// domainPut is the command that takes a failure domain out of service or back into service.
type domainPut struct {
	s   *session
	out bool
	changeOptions
	nameArgument
}

// Execute sends the change.
func (c *domainPut) Execute([]string) error {
	return c.s.changeConfiguration(c.changeOptions, http.MethodPut, c.path("domains"), operator.Domain{Out: c.out})
}
