// Command cases runs the scripted cases of the review: nodes as separate processes, and the platform's store, runners and
// requesters as stand-ins within this process.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// maxRunTime bounds the time of a case.
	maxRunTime = 110 * time.Second
)

// cases holds the function of each case; it reports whether the rule was broken.
var cases = map[string]func(w *world) (broken bool, err error){
	"tenants":  runTenants,
	"pieces":   runPieces,
	"foreign":  runForeign,
	"stages":   runStageOrder,
	"open":     runSettingsChange,
	"versions": runVersions,
	"blackout": runBlackout,
}

func main() {
	os.Exit(runMain())
}

func runMain() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE FOLDER ROOT")
		return exitNotRun
	}
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-ends:
		case <-time.After(maxRunTime):
		}
		w.rec.line("case", "given up")
		w.close()
		os.Exit(exitNotRun)
	}()
	began := time.Now()
	broken, err := cases[os.Args[1]](w)
	switch {
	case err != nil:
		w.rec.line("case", "could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		w.rec.line("case", "the rule was broken")
		fmt.Printf("the rule was broken (%.0f s)\n", time.Since(began).Seconds())
		return exitBroken
	default:
		w.rec.line("case", "the rule held")
		fmt.Printf("the rule held (%.0f s)\n", time.Since(began).Seconds())
		return exitHeld
	}
}
