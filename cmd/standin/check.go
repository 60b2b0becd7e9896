package main

import (
	"errors"
	"os"

	"daisyswitch/promise"
)

type checkCommand struct {
	Journals string `long:"journals" required:"true" description:"folder with worker-*.jsonl, upstream-*.jsonl, caller-*.jsonl and events*.jsonl"`
}

// Execute checks the journals and prints a table of promises; a violated promise, or one that the run did not exercise, is an error.
func (c *checkCommand) Execute([]string) error {
	records, err := promise.Read(c.Journals)
	if err != nil {
		return err
	}
	results := promise.Check(records)
	promise.Print(os.Stdout, results)
	if !promise.OK(results) {
		return errors.New("at least one promise was broken or not observed")
	}
	return nil
}
