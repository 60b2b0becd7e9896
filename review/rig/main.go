package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest is the time after which a case counts as not run.
const longest = 110 * time.Second

// cases holds the cases by name. Each returns whether the rule was broken, or an error if the case could not run.
var cases = map[string]func(*rig) (bool, error){
	"again": againCase,
	"leave": leaveCase,
	"slow":  slowCase,
	"long":  longCase,
	"fill":  fillCase,
	"tasks": tasksCase,
	"timed": timedCase,
	"route": routeCase,
}

func main() {
	os.Exit(run())
}

func run() int {
	runtime.LockOSThread() // processes end with the thread that started them
	program := flag.String("program", "target/daisyswitch", "the project's program")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	keep := flag.String("keep", "", "folder for the processes' logs, none if empty")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "usage: rig [options] CASE")
		return exitNotRun
	}
	r, err := newRig(*program, *record, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r.keep = *keep
	broken, err := r.playInTime(play)
	err = errors.Join(err, r.close())
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.note("the rule was BROKEN")
		return exitBroken
	default:
		r.note("the rule held")
		return exitHeld
	}
}

// playInTime plays a case. Processes are started by this goroutine.
func (r *rig) playInTime(play func(*rig) (bool, error)) (bool, error) {
	tooLong := time.AfterFunc(longest, func() {
		r.note("the case took longer than %v", longest)
		r.killAll()
		os.Exit(exitNotRun)
	})
	defer tooLong.Stop()
	if err := r.start(); err != nil {
		return false, err
	}
	return play(r)
}
