package main

import (
	"errors"
	"time"

	"daisyswitch/standin"
)

type noteCommand struct {
	Journal string `long:"journal" required:"true" description:"file to append to, JSON lines"`
	Name    string `long:"name" description:"process or job"`
	Address string `long:"address" description:"callers' address of the entry"`
	Domain  string `long:"domain" description:"failure domain"`
	Version uint64 `long:"version" description:"configuration version"`
	Index   int32  `long:"index" description:"task of the job"`
	Code    int    `long:"code" description:"exit code"`
	Args    struct {
		Kind string `positional-arg-name:"kind" description:"such as domain_out, killed or stop_began"`
	} `positional-args:"true"`
}

// Execute appends one event to the journal.
func (c *noteCommand) Execute([]string) error {
	journal, err := standin.OpenJournal(c.Journal)
	if err != nil {
		return err
	}
	noted := journal.Append(standin.RunEvent{
		Kind:    c.Args.Kind,
		TimeUS:  time.Now().UnixMicro(),
		Name:    c.Name,
		Address: c.Address,
		Domain:  c.Domain,
		Version: c.Version,
		Index:   c.Index,
		Code:    c.Code,
	})
	return errors.Join(noted, journal.Close())
}
