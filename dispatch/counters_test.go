package dispatch_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/wire"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
)

// TestEndsOfWorkflowsAreCounted completes one workflow and cancels one.
func TestEndsOfWorkflowsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBench(t, 2, big)
		set := metrics.NewSet()
		b.metrics = set
		b.loop.Store(b.newLoop())
		b.loop.Load().SetTable(b.table)
		b.lead(1)
		defer b.depose()
		time.Sleep(200 * time.Millisecond)
		b.submit("short", "done", short(2))
		b.submit("short", "gone", short(2))
		time.Sleep(200 * time.Millisecond)
		b.apply(&wire.WorkflowCommand{Cancel: "gone"})
		time.Sleep(time.Second)
		var out bytes.Buffer
		set.WritePrometheus(&out)
		for _, line := range []string{`{queue="short",place="h/short/",state="completed",reached="in time"} 1`, `{queue="short",place="h/short/",state="cancelled",reached="in time"} 1`} {
			assert.Assert(t, strings.Contains(out.String(), "daisyswitch_workflows_ended_total"+line), out.String())
		}
	})
}
