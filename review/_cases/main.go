package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// maxTime is the time after which a case that has not ended is given up.
const maxTime = 115 * time.Second

var (
	// cases holds the cases by their names. Each returns its exit code.
	cases = map[string]func(r *record, trouble bool) int{
		"ran-twice":        ranTwice,
		"answered-not-run": answeredNotRun,
		"lost-at-sigterm":  lostAtSigterm,
	}
	// started holds the site of the case, whose processes have to be ended.
	started struct {
		sync.Mutex
		site *site
	}
)

// main runs the case that the first argument names, and writes the record to the file that the second one names. With
// TROUBLE=0 in the environment the case runs without its disruption.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases NAME RECORD")
		os.Exit(exitCannotRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	go giveUp(r)
	os.Exit(cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0"))
}

// giveUp ends the case, and all processes that it has started, on a signal or after maxTime.
func giveUp(r *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case s := <-signals:
		r.verdict("the case was ended by a signal: %v", s)
	case <-time.After(maxTime):
		r.verdict("the case has not ended after %v", maxTime)
	}
	started.Lock()
	defer started.Unlock()
	if started.site != nil {
		started.site.killNodes()
	}
	os.Exit(exitCannotRun)
}
