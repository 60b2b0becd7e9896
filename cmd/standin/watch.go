package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"daisyswitch/event"
	"daisyswitch/standin"

	"github.com/sourcegraph/conc"
)

const (
	configurationPath = "/v1/configuration?local=true"
	watchTimeout      = 300 * time.Millisecond
)

type watchCommand struct {
	Journal string        `long:"journal" required:"true" description:"file to append to, JSON lines"`
	Entry   []string      `long:"entry" required:"true" description:"entry to watch, NAME=HOST:PORT with its operators' address; repeat for more"`
	Every   time.Duration `long:"every" default:"250ms" description:"time between looks"`
}

// Execute records the active configuration version of each entry until it receives a signal to stop.
func (c *watchCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	journal, err := standin.OpenJournal(c.Journal)
	if err != nil {
		return err
	}
	var watchers conc.WaitGroup
	for _, entry := range c.Entry {
		name, address, named := strings.Cut(entry, "=")
		if !named {
			return fmt.Errorf("entry %q is not NAME=HOST:PORT", entry)
		}
		watchers.Go(func() { c.watch(ctx, journal, name, address) })
	}
	watchers.Wait()
	return journal.Close()
}

// watch polls one entry and records its configuration version; while the entry cannot be reached, nothing is recorded.
func (c *watchCommand) watch(ctx context.Context, journal *standin.Journal, name, address string) {
	client := &http.Client{Timeout: watchTimeout}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		version, err := activeVersion(ctx, client, address)
		if err == nil {
			err = journal.Append(standin.RunEvent{Kind: standin.ConfigSeen, TimeUS: time.Now().UnixMicro(), Name: name, Version: version})
			if err != nil {
				event.StandinJournalFailed.Error(err)
				return
			}
		}
		select {
		case <-time.After(c.Every):
		case <-ctx.Done():
		}
	}
}

func activeVersion(ctx context.Context, client *http.Client, address string) (uint64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+configurationPath, nil)
	if err != nil {
		return 0, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, errors.New(response.Status)
	}
	var configuration struct {
		Version uint64 `json:"version"`
	}
	err = json.NewDecoder(response.Body).Decode(&configuration)
	return configuration.Version, err
}
