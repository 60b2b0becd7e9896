package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"daisyswitch/standin"
)

// freshMS is how old an entry's own word about its version may be to count as seen.
const freshMS = 1000

type noteCommand struct {
	Journal string `long:"journal" required:"true" description:"file to append to, JSON lines"`
	Name    string `long:"name" description:"process or job"`
	Address string `long:"address" description:"callers' address of the entry"`
	Domain  string `long:"domain" description:"failure domain"`
	Version uint64 `long:"version" description:"configuration version"`
	Index   int32  `long:"index" description:"task of the job"`
	Code    int    `long:"code" description:"exit code"`
	Status  bool   `long:"status" description:"read the output of daisyswitch status --json from standard input, note the versions that it shows, and print the leader's id"`
	Args    struct {
		Kind string `positional-arg-name:"kind" description:"such as domain_out, killed or stop_began"`
	} `positional-args:"true"`
}

// Execute appends one happening, or the versions of a status.
func (c *noteCommand) Execute([]string) error {
	journal, err := standin.OpenJournal(c.Journal)
	if err != nil {
		return err
	}
	return errors.Join(c.note(journal), journal.Close())
}

func (c *noteCommand) note(journal *standin.Journal) error {
	if c.Status {
		return noteStatus(journal)
	}
	return journal.Append(standin.Happening{
		Kind:    c.Args.Kind,
		TimeUS:  time.Now().UnixMicro(),
		Name:    c.Name,
		Address: c.Address,
		Domain:  c.Domain,
		Version: c.Version,
		Index:   c.Index,
		Code:    c.Code,
	})
}

// status is what a note needs of daisyswitch status --json.
type status struct {
	Configuration struct {
		Version uint64 `json:"version"`
	} `json:"configuration"`
	Leader  uint64 `json:"leader"`
	Entries []struct {
		Name     string `json:"name"`
		Version  uint64 `json:"version"`
		SilentMS int64  `json:"silent_ms"`
	} `json:"entries"`
}

func noteStatus(journal *standin.Journal) error {
	var s status
	if err := json.NewDecoder(os.Stdin).Decode(&s); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	now := time.Now().UnixMicro()
	seen := []standin.Happening{{Kind: standin.ConfigSeen, TimeUS: now, Name: "control", Version: s.Configuration.Version}}
	for _, e := range s.Entries {
		if e.SilentMS <= freshMS {
			seen = append(seen, standin.Happening{Kind: standin.ConfigSeen, TimeUS: now, Name: e.Name, Version: e.Version})
		}
	}
	for _, h := range seen {
		if err := journal.Append(h); err != nil {
			return err
		}
	}
	fmt.Println(s.Leader)
	return nil
}
