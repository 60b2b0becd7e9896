package place

import (
	"fmt"
	"io"
	"os"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"
)

type policy struct {
	name string
	set  func(*fake)
}

var baselines = []policy{
	{"daisyswitch", ours(nil)},
	{"first fit", firstFit},
	{"best fit", bestFit},
	{"services alone", servicesAlone},
	{"react to each reading", reactive},
	{"oracle", oracle},
}

func (p policy) run(u user, seed uint64, always bool) measures {
	f := newFake(u, seed)
	f.always = always
	p.set(f)
	f.begin()
	for f.now < horizon {
		f.step()
	}
	return f.measures
}

// TestMeasure prints the table of the policy against its baselines; it runs only when asked for by MEASURE=seeds.
func TestMeasure(t *testing.T) {
	var seeds, first uint64
	if n, _ := fmt.Sscan(os.Getenv("MEASURE"), &first, &seeds); n != 2 {
		t.Skip("set MEASURE to the first seed and the number of seeds")
	}
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	list := baselines
	if os.Getenv("ONLY") != "" {
		list = []policy{baselines[0], baselines[5]}
	}
	for _, u := range users {
		results := make([][]measures, len(list))
		var group sync.WaitGroup
		for i := range list {
			results[i] = make([]measures, 2*seeds)
			group.Go(func() {
				for s := range seeds {
					results[i][s] = list[i].run(u, first+s, false)
					results[i][seeds+s] = list[i].run(u, first+s, true)
				}
			})
		}
		group.Wait()
		fmt.Printf("%s, %d seeds\n%-24s %8s %9s %9s %7s %7s %8s %8s %6s\n", u.name, seeds, "policy", "windows", "volume", "of oracle", "evict", "killed", "absence", "urgent s", "wrong")
		for i, p := range list {
			var sum measures
			for s, m := range results[i][:seeds] {
				sum.good += m.good
				sum.windows += m.windows
				sum.volume += m.volume
				sum.absence += m.absence / max(1, results[i][int(seeds)+s].absence) / float64(seeds)
				sum.evictions += m.evictions
				sum.kills += m.kills
				sum.urgentWait = max(sum.urgentWait, m.urgentWait)
				sum.wronglyOver += m.wronglyOver
				sum.refused += m.refused
				sum.resizes += m.resizes
				sum.busy += m.busy / m.workerSeconds / float64(seeds)
				sum.committed += m.committed / m.workerSeconds / float64(seeds)
				sum.memUsed += m.memUsed / m.workerSeconds / float64(seeds)
				sum.speed += m.speed / m.workerSeconds / float64(seeds)
				sum.throttled += m.throttled / m.workerSeconds / float64(seeds)
				sum.givenUp += m.givenUp
				sum.cannotRun += m.cannotRun
			}
			best := 0.0
			for _, m := range results[len(list)-1][:seeds] {
				best += m.volume
			}
			fmt.Printf("%-24s %7.2f%% %9.0f %8.1f%% %7d %7d %7.1f%% %8d %6d refused=%d givenup=%d cannot=%d resizes=%d busy=%.2f commit=%.2f mem=%.2f speed=%.2f throttled=%.2f\n", p.name, 100*sum.good/sum.windows, sum.volume/float64(seeds), 100*sum.volume/best, sum.evictions, sum.kills, 100*sum.absence, sum.urgentWait, sum.wronglyOver, sum.refused, sum.givenUp, sum.cannotRun, sum.resizes, sum.busy, sum.committed, sum.memUsed, sum.speed, sum.throttled)
		}
	}
	assert.Assert(t, seeds > 0)
}
