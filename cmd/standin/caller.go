package main

import (
	"encoding/json"
	"errors"
	"os"
	"time"

	"daisyswitch/fakecaller"
)

type callerCommand struct {
	Name      string        `long:"name" default:"caller" description:"beginning of each request id"`
	Entry     []string      `long:"entry" required:"true" description:"callers' address of an entry, host:port; repeat for more"`
	Ready     []string      `long:"ready" description:"admin address of each entry in the same order; requests go to ready ones, as behind a balancer"`
	Class     string        `long:"class" required:"true" description:"class of the requests"`
	Rate      float64       `long:"rate" default:"100" description:"requests a second, sent whether or not earlier ones were answered"`
	Duration  time.Duration `long:"duration" default:"10s" description:"length of the load"`
	PostShare float64       `long:"post-share" default:"0.2" description:"share of non-idempotent requests, 0 to 1"`
	BodyBytes int           `long:"body-bytes" default:"256" description:"size of a POST's body"`
	Timeout   time.Duration `long:"timeout" default:"2s" description:"timeout that each request names"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of arrivals and methods"`
	Journal   string        `long:"journal" description:"file to append to what each request was told, JSON lines"`
	JSON      bool          `long:"json" description:"print the summary as JSON"`
}

// Execute sends the requests and prints a summary; a wrong or missing response is an error.
func (c *callerCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	caller, err := fakecaller.New(fakecaller.Options{
		Name:      c.Name,
		Entries:   c.Entry,
		Ready:     c.Ready,
		Class:     c.Class,
		Rate:      c.Rate,
		Duration:  c.Duration,
		PostShare: c.PostShare,
		BodyBytes: c.BodyBytes,
		Timeout:   c.Timeout,
		Seed:      c.Seed,
		Journal:   c.Journal,
	})
	if err != nil {
		return err
	}
	summary := caller.Run(ctx)
	if err := caller.Close(); err != nil {
		return err
	}
	if c.JSON {
		err = json.NewEncoder(os.Stdout).Encode(summary)
	} else {
		summary.Print(os.Stdout)
	}
	if err == nil && summary.Failed() {
		err = errors.New("at least one response was wrong or missing")
	}
	return err
}
