package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes, as the review's scripts return them.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// scenario is one case of the review.
type scenario struct {
	sizes sizes
	run   func(*installation) error // an error means that the case could not run
}

func main() {
	name := flag.String("case", "", "case to play")
	trouble := flag.Bool("trouble", true, "whether to play the disruption")
	recordFile := flag.String("record", "record.txt", "file to which everything that is seen is written")
	program := flag.String("program", "target/daisyswitch", "program under test")
	keep := flag.String("keep", "", "folder for settings, data and logs, which are kept there; a temporary one if empty")
	flag.Parse()
	os.Exit(play(*name, *trouble, *recordFile, *program, *keep))
}

func play(name string, trouble bool, recordFile, program, keep string) int {
	s, known := scenarios[name]
	if !known {
		fmt.Fprintf(os.Stderr, "no case is named %q\n", name)
		return exitCannotRun
	}
	r, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer r.close()
	r.note("case", "name", name, "trouble", trouble)
	in, err := newInstallation(program, keep, trouble, s.sizes, r)
	if err != nil {
		return r.cannotRun(err)
	}
	defer in.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		in.abort()
		os.Exit(r.cannotRun(errStopped))
	}()
	overdue := time.AfterFunc(longestCase, func() {
		in.abort()
		os.Exit(r.cannotRun(fmt.Errorf("the case took longer than %v", longestCase)))
	})
	defer overdue.Stop()
	if err := in.start(); err != nil {
		return r.cannotRun(err)
	}
	if err := s.run(in); err != nil {
		return r.cannotRun(err)
	}
	return r.verdict()
}

var errStopped = errors.New("the case was stopped by a signal")

// longestCase is below the 120 s that a script may take.
const longestCase = 110 * time.Second
