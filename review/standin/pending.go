package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// Times of the case pending.
const (
	refusingFor = 6500 * time.Millisecond
	visibleTime = 5 * time.Second        // after which a submission that has not begun counts as pending
	countLag    = 200 * time.Millisecond // beyond visibleTime, for the requests' way
)

func init() { scenarios["pending"] = scenario{sizes{2, []executorKind{{11, "a"}, {1, "b"}}}, pending} }

// pending has the only executor that may run some submissions refuse to start anything for a while, and asks how many are pending.
func pending(in *installation) error {
	b := in.onlyB()
	began := time.Now()
	if in.trouble {
		in.note("executor refuses to start anything", "executor", b.id, "for", refusingFor)
		b.setRefusing(began.Add(refusingFor))
	}
	var ids []string
	for range 6 {
		id := in.newID(workTime{shortest: 1500 * time.Millisecond})
		if err := in.submit(id, step{count: 1, milliCPU: 4000, requires: "b"}); err != nil {
			return err
		}
		ids = append(ids, id)
	}
	time.Sleep(visibleTime + countLag)
	notBegun := 0
	for try := range 2 * len(in.gateways) {
		_, answer := in.request(http.MethodGet, try, prefix, nil)
		notBegun = 0
		for _, id := range ids {
			if ever, _ := in.begun(id); !ever {
				notBegun++
			}
		}
		var reply struct {
			Pending *int `json:"pending"`
		}
		if json.Unmarshal(answer, &reply) == nil && reply.Pending != nil && 2**reply.Pending < notBegun {
			in.broken("MIXED", "%d are said to be pending, but %d of those that were accepted over %v ago have not begun", *reply.Pending, notBegun, visibleTime)
		}
	}
	time.Sleep(time.Until(began.Add(refusingFor + 8*time.Second)))
	for try, id := range ids {
		in.state(try, id)
	}
	return nil
}

func (e *executor) setRefusing(until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusing = until
}
