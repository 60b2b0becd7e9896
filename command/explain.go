package command

import (
	"errors"
	"fmt"
	"io"
	"os"

	story "daisyswitch/explain"
)

var errNoStory = errors.New("no log names the workflow")

type jobExplain struct {
	s    *session
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE" description:"logs of processes; the standard input if none is named"`
	} `positional-args:"yes"`
}

// Execute prints what the logs say of a workflow, in order of time.
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
		return errNoStory
	}
	for _, line := range lines {
		fmt.Fprintln(c.s.out, line.Text)
	}
	return nil
}
