package command

import (
	"errors"
	"fmt"
	"io"
	"os"

	story "daisyswitch/explain"
)

var errNoLogLine = errors.New("no log line mentions the workflow")

type jobExplain struct {
	s    *session
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE" description:"logs of processes; the standard input if none is named"`
	} `positional-args:"yes"`
}

// Execute prints the log lines about a workflow in chronological order.
func (c *jobExplain) Execute([]string) error {
	logs := []io.Reader{os.Stdin}
	if len(c.Args.Files) > 0 {
		logs = nil
	}
	for _, name := range c.Args.Files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		defer file.Close()
		logs = append(logs, file)
	}
	lines, err := story.History(c.Args.ID, logs...)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return errNoLogLine
	}
	for _, line := range lines {
		fmt.Fprintln(c.s.out, line.Text)
	}
	return nil
}
