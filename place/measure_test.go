package place

import (
	"flag"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"daisyswitch/pressure"
	"daisyswitch/sizing"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"
)

var (
	seeds  = flag.Int("seeds", 0, "TestMeasure: how many seeds to run")
	first  = flag.Int("first", 1, "TestMeasure: the first seed")
	ablate = flag.Bool("ablate", false, "TestMeasure: switch off one idea after the other in place of the baselines")
)

type policy struct {
	name string
	set  func(*fake)
}

var baselines = []policy{
	{"daisyswitch", ours(nil)},
	{"oracle", oracle},
	{"first fit", firstFit},
	{"best fit", bestFit},
	{"services alone", servicesAlone},
	{"react to each reading", reactive},
}

var ablations = []policy{
	{"daisyswitch", ours(nil)},
	{"oracle", oracle},
	{"without pair costs", ours(func(p *Placer) { p.ideas.pairs = false })},
	{"without resizing", ours(func(p *Placer) { p.ideas.resize = false })},
	{"without a job's tasks", func(f *fake) {
		ours(nil)(f)
		f.decide = func(f *fake) {
			for _, j := range f.placer.fleet.Jobs {
				j.Sample = sizing.Sample{}
			}
			f.obey()
		}
	}},
	{"without a forecast", ours(func(p *Placer) { p.ideas.forecast = false })},
	{"without throttling", ours(func(p *Placer) { p.pressure.Steps = []int32{} })},
	{"without waiting a lag", ours(func(p *Placer) { p.pressure.Lag = time.Nanosecond })},
	{"without any relief", ours(func(p *Placer) { p.pressure = pressure.New(p.fleet, pressure.Options{Lag: time.Hour}) })},
	{"one candidate", ours(func(p *Placer) { p.options.Candidates = 1 })},
	{"load of 10 minutes", ours(func(p *Placer) { p.usage.LoadHalf = 5 * time.Minute })},
	{"load of 10 seconds", ours(func(p *Placer) { p.usage.LoadHalf = 5 * time.Second })},
	{"without suspension", ours(func(p *Placer) { p.options.Blame.Jobs = 1 << 30 })},
	{"without giving up", ours(func(p *Placer) { p.options.Blame.Workers = 1 << 30 })},
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

// runAll runs each policy on each seed, and with the domain away from begin to end, a few at a time.
func runAll(list []policy, u user, first, seeds int) (results, away [][]measures) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	results, away = make([][]measures, len(list)), make([][]measures, len(list))
	slots := make(chan bool, 4)
	var group sync.WaitGroup
	for i, p := range list {
		results[i], away[i] = make([]measures, seeds), make([]measures, seeds)
		for s := range seeds {
			group.Go(func() {
				slots <- true
				defer func() { <-slots }()
				results[i][s] = p.run(u, uint64(first+s), false)
				if i < 2 {
					away[i][s] = p.run(u, uint64(first+s), true)
				}
			})
		}
	}
	group.Wait()
	return results, away
}

// TestMeasure prints the table of the policy against its baselines, or of its ideas; it runs only when asked for by -seeds.
func TestMeasure(t *testing.T) {
	if *seeds == 0 {
		t.Skip("pass -seeds")
	}
	list := baselines
	if *ablate {
		list = ablations
	}
	for _, u := range users {
		results, away := runAll(list, u, *first, *seeds)
		fmt.Printf("%s, seeds %d to %d\n%-24s %8s %7s %6s %7s %7s %7s %8s %7s %6s %6s %6s %5s %5s\n", u.name, *first, *first+*seeds-1,
			"policy", "windows", "worst", "score", "volume", "evict", "killed", "absence", "/oracle", "urgent", "wrong", "resize", "busy", "held")
		base := sum(results[1])
		for i, p := range list {
			m, worst := sum(results[i]), 1.0
			for _, each := range results[i] {
				worst = min(worst, each.good/each.windows)
			}
			score := u.weighVolume*min(1, m.volume/base.volume) + u.weighWindow*m.good/m.windows + (1-u.weighVolume-u.weighWindow)/2*(min(1, m.absence/base.absence)+1/(1+float64(m.evictions+m.kills)/1000/float64(*seeds)))
			fmt.Printf("%-24s %7.2f%% %6.2f%% %6.3f %6.1f%% %7d %7d %7.1f%% %6.1f%% %5ds %6d %6d %5.2f %5.2f\n", p.name, 100*m.good/m.windows, 100*worst, score, 100*m.volume/base.volume,
				m.evictions, m.kills, 100*m.absence/sum(away[i]).absence, 100*m.absence/base.absence, m.urgentWait, m.wronglyOver, m.resizes, m.busy/m.workerSeconds, m.committed/m.workerSeconds)
			assert.Equal(t, m.refused, 0)
		}
	}
}

func sum(list []measures) (total measures) {
	for _, m := range list {
		total.good += m.good
		total.windows += m.windows
		total.volume += m.volume
		total.absence += m.absence
		total.evictions += m.evictions
		total.kills += m.kills
		total.resizes += m.resizes
		total.refused += m.refused
		total.wronglyOver += m.wronglyOver
		total.urgentWait = max(total.urgentWait, m.urgentWait)
		total.busy += m.busy
		total.committed += m.committed
		total.workerSeconds += m.workerSeconds
	}
	return total
}
