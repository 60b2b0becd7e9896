package explain_test

import (
	"os"
	"strings"
	"testing"

	"daisyswitch/explain"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestStoryOfOneWorkflow checks that the workflow's lines from two processes and the events of its worker are merged in order of time.
func TestStoryOfOneWorkflow(t *testing.T) {
	leader, err := os.Open("testdata/leader.log")
	assert.NilError(t, err)
	defer leader.Close()
	gateway, err := os.Open("testdata/gateway.log")
	assert.NilError(t, err)
	defer gateway.Close()
	story, err := explain.Story("15ab3ded96258ea2", leader, gateway)
	assert.NilError(t, err)
	var text strings.Builder
	for _, line := range story {
		text.WriteString(line.Text + "\n")
	}
	golden.Assert(t, text.String(), "story.golden")
}

func TestUnknownWorkflowHasNoStory(t *testing.T) {
	story, err := explain.Story("none", strings.NewReader("I0909 20:07:18.109252 1 a.go:1] \"E0469 task_placed\" task=\"a.0.0.0\"\n"))
	assert.NilError(t, err)
	assert.Equal(t, len(story), 0)
}
