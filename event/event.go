package event

import (
	"fmt"
	"sort"

	"k8s.io/klog/v2"
)

// Event is one kind of line in the log.
type Event struct {
	Number int    // unique, never reused
	Name   string // snake_case
	Text   string // one sentence for the catalogue
}

var catalogue = map[int]Event{}

// register adds an event to the catalogue and stops the program on a number used twice.
func register(number int, name, text string) Event {
	if _, taken := catalogue[number]; taken {
		panic(fmt.Sprintf("event number %d is registered twice", number))
	}
	e := Event{Number: number, Name: name, Text: text}
	catalogue[number] = e
	return e
}

// Info logs the event with alternating keys and values.
func (e Event) Info(keysAndValues ...any) {
	klog.InfoSDepth(1, e.title(), keysAndValues...)
}

// Error logs the event as an error with its cause.
func (e Event) Error(err error, keysAndValues ...any) {
	klog.ErrorSDepth(1, err, e.title(), keysAndValues...)
}

func (e Event) title() string {
	return fmt.Sprintf("E%04d %s", e.Number, e.Name)
}

// All returns the catalogue in order of number.
func All() []Event {
	all := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}
