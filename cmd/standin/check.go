package main

import (
	"errors"
	"os"

	"daisyswitch/promise"
)

type checkCommand struct {
	Journals string `long:"journals" required:"true" description:"folder with worker-*.jsonl, upstream-*.jsonl, caller-*.jsonl and events*.jsonl"`
}

// Execute prints the table of promises; a violation, or a promise that was not put to the test, is a failure.
func (c *checkCommand) Execute([]string) error {
	records, err := promise.Read(c.Journals)
	if err != nil {
		return err
	}
	results := promise.Check(records)
	promise.Print(os.Stdout, results)
	if !promise.OK(results) {
		return errors.New("a promise was broken or not observed")
	}
	return nil
}
