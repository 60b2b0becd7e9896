package main

import (
	"errors"
	"time"

	"daisyswitch/fakeupstream"
)

const upstreamLeaveLimit = 20 * time.Second

type upstreamCommand struct {
	Name        string        `long:"name" required:"true" description:"unique name"`
	Domain      string        `long:"domain" required:"true" description:"failure domain"`
	Instance    string        `long:"instance" description:"worker whose machine it shares"`
	Entry       []string      `long:"entry" required:"true" description:"platform address of an entry of the domain, host:port; repeat for more"`
	Class       []string      `long:"class" required:"true" description:"class that it serves; repeat for more"`
	Address     string        `long:"address" default:"127.0.0.1:0" description:"IP:port for entries, port 0 for a free one"`
	Admin       string        `long:"admin" description:"IP:port of its own admin interface: GET /v1/standin, PUT /v1/standin/mode {slow_by, silent, truncate, repeat}, PUT /v1/standin/leave"`
	Slots       int           `long:"slots" default:"8" description:"requests served at once"`
	Connections int           `long:"connections" default:"64" description:"connections taken at once"`
	QueueWait   time.Duration `long:"queue-wait" default:"20ms" description:"longest wait for a slot before a refusal"`
	LeaveWait   time.Duration `long:"leave-wait" default:"4s" description:"time between saying that it leaves and closing"`
	Median      time.Duration `long:"median" default:"5ms" description:"median service time"`
	TailPercent float64       `long:"tail-percent" default:"1" description:"share of requests in the heavy tail"`
	Tail        float64       `long:"tail" default:"10" description:"factor on the median in the tail"`
	BodyBytes   int           `long:"body-bytes" default:"512" description:"size of each answer's filling"`
	Seed        uint64        `long:"seed" default:"1" description:"seed of service times"`
	Journal     string        `long:"journal" description:"file to append effects to, JSON lines"`
}

// Execute runs the upstream until it receives a signal to stop or a request to leave.
func (c *upstreamCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	u, err := fakeupstream.New(fakeupstream.Options{
		Name:        c.Name,
		Address:     c.Address,
		Admin:       c.Admin,
		Domain:      c.Domain,
		Instance:    c.Instance,
		Classes:     c.Class,
		Entries:     c.Entry,
		Slots:       c.Slots,
		Connections: c.Connections,
		QueueWait:   c.QueueWait,
		LeaveWait:   c.LeaveWait,
		Service:     fakeupstream.Distribution{Median: c.Median, TailPercent: c.TailPercent, Tail: c.Tail},
		BodyBytes:   c.BodyBytes,
		Journal:     c.Journal,
		Seed:        c.Seed,
	})
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-u.LeaveRequested():
	}
	leaving, done := timeoutContext(upstreamLeaveLimit)
	defer done()
	return errors.Join(u.Leave(leaving), u.Close())
}
