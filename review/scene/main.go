package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken says that the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases holds the cases by name. trouble says whether the disruption comes.
var cases = map[string]func(d *deployment, trouble bool) error{
	"reused":  reused,
	"dropped": dropped,
	"refused": refused,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scene CASE PROGRAM FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, with the disruption: %v", name, trouble)
	d, err := newDeployment(program, r)
	if d != nil {
		defer d.close()
	}
	if err == nil {
		err = cases[name](d, trouble)
	}
	switch {
	case err == nil:
		r.note("held")
		fmt.Println(name, "held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.note("broken: %v", err)
		fmt.Println(name, err)
		return exitBroken
	default:
		r.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, name, "not run:", err)
		return exitNotRun
	}
}

// wait waits until a condition holds, and reports whether it did in time.
func wait(most time.Duration, holds func() bool) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
