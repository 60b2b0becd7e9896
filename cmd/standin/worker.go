package main

import (
	"time"

	"daisyswitch/fakeworker"
	"daisyswitch/resource"
)

const workerLeaveLimit = 10 * time.Second

type workerCommand struct {
	Name         string        `long:"name" required:"true" description:"unique name"`
	Domain       string        `long:"domain" required:"true" description:"failure domain"`
	Rack         string        `long:"rack" default:"rack-1" description:"rack within the failure domain"`
	Entry        []string      `long:"entry" required:"true" description:"platform address of an entry of the domain, host:port; repeat for more"`
	CPU          float64       `long:"cpu" default:"16" description:"cores"`
	MemoryGiB    float64       `long:"memory-gib" default:"60" description:"memory, GiB"`
	Accelerators int64         `long:"accelerators" default:"0" description:"devices"`
	Poll         time.Duration `long:"poll" default:"200ms" description:"time between polls"`
	Lag          time.Duration `long:"lag" default:"1s" description:"age of reported use"`
	Scale        float64       `long:"scale" default:"1" description:"factor on the declared run times"`
	FailAll      bool          `long:"fail-all" description:"fail every task soon after its start"`
	Journal      string        `long:"journal" description:"file to append effects to, JSON lines"`
}

// Execute runs the worker until it receives a signal to stop.
func (c *workerCommand) Execute([]string) error {
	const milli, mibPerGiB = 1000, 1024
	ctx, cancel := signalContext()
	defer cancel()
	w, err := fakeworker.New(fakeworker.Options{
		Name:     c.Name,
		Domain:   c.Domain,
		Rack:     c.Rack,
		Entries:  c.Entry,
		Capacity: resource.Size{MilliCPU: int64(c.CPU * milli), MemoryMiB: int64(c.MemoryGiB * mibPerGiB), Accelerators: c.Accelerators},
		Poll:     c.Poll,
		Lag:      c.Lag,
		Scale:    c.Scale,
		FailAll:  c.FailAll,
		Journal:  c.Journal,
	})
	if err != nil {
		return err
	}
	<-ctx.Done()
	leaving, done := timeoutContext(workerLeaveLimit)
	defer done()
	err = w.Leave(leaving)
	if closed := w.Close(); err == nil {
		err = closed
	}
	return err
}
