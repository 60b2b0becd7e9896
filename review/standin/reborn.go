package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Crashes of the case reborn.
const (
	crashRounds = 8
	crashPause  = 3 * time.Second // before each round
	crashedFor  = time.Second
	crashCount  = 3 // of 48 executors
)

func init() { scenarios["reborn"] = scenario{sizes{2, []executorKind{{48, "a"}}}, reborn} }

// reborn lets executors crash silently and start again under their ids a second later, while submissions come steadily.
func reborn(in *installation) error {
	var crashes sync.WaitGroup
	crashes.Add(1)
	go func() {
		defer crashes.Done()
		for round := range crashRounds {
			time.Sleep(crashPause)
			if in.trouble {
				in.crashSome(round)
			}
		}
	}()
	for range 500 {
		id := in.newID(workTime{shortest: 1500 * time.Millisecond})
		if err := in.submit(id, step{count: 6, milliCPU: 4000}); err != nil {
			return err
		}
		time.Sleep(40 * time.Millisecond)
	}
	crashes.Wait()
	time.Sleep(5 * time.Second)
	in.checkTogether()
	return nil
}

// crashSome crashes a few executors, which start again a second later. Their check-ins begin at any point of the interval between two.
func (in *installation) crashSome(round int) {
	var down []*executor
	for i := range crashCount {
		down = append(down, in.executors[(round+i*len(in.executors)/crashCount)%len(in.executors)])
	}
	for _, e := range down {
		e.shut(true)
	}
	time.Sleep(crashedFor)
	for _, e := range down {
		e.firstCheckIn = rand.N(heartbeatEvery)
		if err := e.start(); err != nil {
			in.note("executor not started", "cause", err)
		}
	}
}
