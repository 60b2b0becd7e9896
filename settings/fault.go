package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one error in a settings file.
type Fault struct {
	Line    int    // starts at 1
	Key     string // path of the key, such as control[1].inner; empty for an error of the whole file
	Text    string // what is wrong
	Allowed string // allowed values, empty if Text already names them
}

// Error holds all faults of one settings file.
type Error struct {
	File   string
	Faults []Fault // sorted by line
}

// Error returns one line for each fault, with file, line and key.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = e.File + f.String()
	}
	return strings.Join(lines, "\n")
}

// String returns the fault without the file name.
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
