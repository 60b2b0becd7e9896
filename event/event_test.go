package event_test

import (
	"fmt"
	"strings"
	"testing"

	"daisyswitch/event"

	"gotest.tools/v3/golden"
)

// TestCatalogue checks that docs/EVENTS.md lists the registered events; run with -update to regenerate it.
func TestCatalogue(t *testing.T) {
	var page strings.Builder
	page.WriteString("# Log events\n\nEvery line in the log starts with the number and name of its event.\nThis page is written by `go test ./event -update`.\n\n| number | name | meaning |\n| --- | --- | --- |\n")
	for _, e := range event.All() {
		fmt.Fprintf(&page, "| E%04d | %s | %s |\n", e.Number, e.Name, e.Text)
	}
	golden.Assert(t, page.String(), "../../docs/EVENTS.md")
}
