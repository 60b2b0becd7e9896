package place

import (
	"flag"
	"fmt"
	"io"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"daisyswitch/sizing"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"
)

var (
	seeds  = flag.Int("seeds", 0, "TestMeasure: how many seeds to run")
	first  = flag.Int("first", 1, "TestMeasure: the first seed")
	ablate = flag.Bool("ablate", false, "TestMeasure: compare the policy with one feature switched off at a time instead of with the baselines")
)

type policy struct {
	name string
	set  func(*sim)
}

var baselines = []policy{
	{"daisyswitch", withPlacer(nil)},
	{"oracle", oracle},
	{"react to each reading", reactive},
	{"first fit", firstFit},
	{"best fit", bestFit},
	{"services alone", servicesAlone},
}

var ablations = []policy{
	{"daisyswitch", withPlacer(nil)},
	{"oracle", oracle},
	{"without pair costs", withPlacer(func(p *Placer) { p.features.pairCosts = false })},
	{"without resizing", withPlacer(func(p *Placer) { p.features.resize = false })},
	{"without a forecast", withPlacer(func(p *Placer) { p.features.forecast = false })},
	{"without a job's tasks", func(f *sim) {
		withPlacer(nil)(f)
		f.decide = func(f *sim) {
			for _, j := range f.placer.fleet.Jobs {
				j.Sample = sizing.Sample{}
			}
			f.applyDecisions()
		}
	}},
	{"without throttling", withPlacer(func(p *Placer) { p.pressure.Steps = []int32{} })},
	{"without waiting a lag", withPlacer(func(p *Placer) { p.pressure.Lag = time.Nanosecond })},
	{"without any relief", withPlacer(func(p *Placer) { p.pressure.Lag = 24 * time.Hour })},
	{"without a pace", withPlacer(func(p *Placer) { p.usage.Pace = 10 })},
	{"without suspension", withPlacer(func(p *Placer) { p.options.Blame.Jobs = 1 << 30 })},
	{"without giving up", withPlacer(func(p *Placer) { p.options.Blame.Workers = 1 << 30 })},
	{"load of 10 minutes", withPlacer(func(p *Placer) { p.usage.LoadHalf = 5 * time.Minute })},
	{"eight candidates", withPlacer(func(p *Placer) { p.options.Candidates = 8 })},
}

func (p policy) run(u user, seed int, always bool) measures {
	f := newSim(u, uint64(seed))
	f.always = always
	p.set(f)
	f.begin()
	for f.now < horizon {
		f.step()
	}
	return f.measures
}

// runAll runs each policy on each seed, four at a time. It also runs the oracle, the second policy, with one domain away for the whole run.
func runAll(list []policy, u user, first, seeds int) (results [][]measures, away []measures) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	results, away = make([][]measures, len(list)), make([]measures, seeds)
	slots := make(chan bool, 4)
	var group sync.WaitGroup
	for i, p := range list {
		results[i] = make([]measures, seeds)
		for s := range seeds {
			group.Go(func() {
				slots <- true
				defer func() { <-slots }()
				results[i][s] = p.run(u, first+s, false)
				if i == 1 {
					away[s] = p.run(u, first+s, true)
				}
			})
		}
	}
	group.Wait()
	return results, away
}

// sumMeasures adds up the measures of several runs, except the urgent wait, of which it keeps the maximum.
func sumMeasures(list []measures) (sum measures) {
	for _, m := range list {
		urgent := max(sum.urgent, m.urgent)
		to, from := reflect.ValueOf(&sum).Elem(), reflect.ValueOf(m)
		for i := range from.NumField() {
			*(*float64)(to.Field(i).Addr().UnsafePointer()) += from.Field(i).Float()
		}
		sum.urgent = urgent
	}
	return sum
}

// TestMeasure prints a table that compares the policy with its baselines, or with variants that have one feature switched off. It is skipped unless -seeds is set.
func TestMeasure(t *testing.T) {
	if *seeds == 0 {
		t.Skip("skipped unless -seeds is set")
	}
	list := baselines
	if *ablate {
		list = ablations
	}
	for _, u := range users {
		results, away := runAll(list, u, *first, *seeds)
		fmt.Printf("%s, seeds %d to %d\n| policy | windows | worst seed | volume | evicted | killed | absence | of remaining room | urgent | failed | wrong | resized | busy | held | score |\n|%s\n", u.name, *first, *first+*seeds-1, strings.Repeat(" --- |", 15))
		base := sumMeasures(results[1])
		for i, p := range list {
			m, worst := sumMeasures(results[i]), 1.0
			for _, result := range results[i] {
				worst = min(worst, result.good/result.windows)
			}
			calm := 1 / (1 + (m.evictions+m.kills)/1000/float64(*seeds))
			score := u.weighVolume*min(1, m.volume/base.volume) + u.weighWindow*m.good/m.windows + (1-u.weighVolume-u.weighWindow)/2*(min(1, m.absence/base.absence)+calm)
			fmt.Printf("| %s | %.2f%% | %.2f%% | %.1f%% | %.0f | %.0f | %.1f%% | %.1f%% | %.0f s | %.0f | %.0f | %.0f | %.2f | %.2f | %.3f |\n", p.name, 100*m.good/m.windows, 100*worst, 100*m.volume/base.volume,
				m.evictions, m.kills, 100*m.absence/base.absence, 100*m.absence/sumMeasures(away).absence, m.urgent, m.failed, m.wrong, m.resizes, m.busy/m.workerSec, m.held/m.workerSec, score)
			assert.Equal(t, m.refused, 0.0)
		}
	}
}

// TestTargets checks the policy against its quality targets, with one seed per user.
func TestTargets(t *testing.T) {
	for _, u := range users {
		results, away := runAll(baselines[:3], u, 1, 1)
		own, best, reactive := results[0][0], results[1][0], results[2][0]
		assert.Assert(t, own.good >= 0.99*own.windows, "%s: %v of %v windows within target", u.name, own.good, own.windows)
		assert.Assert(t, own.volume >= 0.85*best.volume, "%s: volume %v, oracle %v", u.name, own.volume, best.volume)
		assert.Assert(t, 4*(own.evictions+own.kills) <= reactive.evictions, "%s: evictions %v, reacting to each reading %v", u.name, own.evictions, reactive.evictions)
		assert.Assert(t, own.absence >= 0.9*away[0].absence, "%s: %v done while a domain is away, room for %v", u.name, own.absence, away[0].absence)
		assert.Assert(t, own.urgent <= 8, "%s: urgent work waited %v s", u.name, own.urgent)
		assert.Equal(t, own.wrong+own.refused, 0.0)
	}
}
