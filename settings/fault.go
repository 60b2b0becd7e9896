package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one thing wrong with a settings file.
type Fault struct {
	Line    int    // 1 and up
	Key     string // path of the key, such as control[1].inner; empty for the file as a whole
	Text    string // what is wrong
	Allowed string // what is allowed there, empty if the text says it
}

// Error tells all faults of one settings file.
type Error struct {
	File   string
	Faults []Fault // by line
}

// Error returns one line for each fault, with file, line and key.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = e.File + f.String()
	}
	return strings.Join(lines, "\n")
}

// String returns the fault without its file's name.
func (f Fault) String() string {
	line := fmt.Sprintf(":%d: ", f.Line)
	if f.Key != "" {
		line += f.Key + ": "
	}
	line += f.Text
	if f.Allowed != "" {
		line += "; allowed is " + f.Allowed
	}
	return line
}

func sortFaults(faults []Fault) {
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Line < faults[j].Line })
}
