package event

import (
	"fmt"
	"sort"
	"time"

	"k8s.io/klog/v2"
)

// Event is one type of log line.
type Event struct {
	Number int    // unique, never reused
	Name   string // snake_case
	Text   string // one sentence for the catalogue
}

var catalogue = map[int]Event{}

// register adds an event to the catalogue and panics on a number that is out of range or used twice.
func register(number int, name, text string) Event {
	if number <= 0 || number >= maxNumber {
		panic(fmt.Sprintf("event number %d is out of range: allowed are 1 to below %d", number, maxNumber))
	}
	if _, taken := catalogue[number]; taken {
		panic(fmt.Sprintf("event number %d is registered twice", number))
	}
	e := Event{Number: number, Name: name, Text: text}
	catalogue[number] = e
	return e
}

// Info logs the event at info level with alternating keys and values.
func (e Event) Info(keysAndValues ...any) {
	if e.allowed() {
		klog.InfoSDepth(1, e.title(), keysAndValues...)
	}
}

// Error logs the event at error level with its cause.
func (e Event) Error(err error, keysAndValues ...any) {
	if e.allowed() {
		klog.ErrorSDepth(1, err, e.title(), keysAndValues...)
	}
}

// allowed limits the lines of an event per second and logs how many were omitted.
func (e Event) allowed() bool {
	ok, omitted := limiters[e.Number].allow(time.Now())
	if omitted > 0 {
		klog.InfoSDepth(2, LinesOmitted.title(), "event", e.title(), "lines", omitted)
	}
	return ok
}

func (e Event) title() string {
	return fmt.Sprintf("E%04d %s", e.Number, e.Name)
}

// All returns all registered events in order of number.
func All() []Event {
	all := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}
