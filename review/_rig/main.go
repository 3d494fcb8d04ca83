// Command rig plays one case of the review: it starts gateways and sidecars as separate
// processes, with stand-ins for the store, the workers and the callers around them, and checks
// one rule by what callers and workers have seen. It exits with 1 if the rule was broken, with 0
// if it held, and with 2 if the case could not be run.
package main

import (
	"fmt"
	"os"
	"time"
)

// timeLimit ends a case that hangs.
const timeLimit = 110 * time.Second

// cases holds the scenarios by name. Each returns how often the rule was broken.
var cases = map[string]func(r *rig) (int, error){
	"stop-unanswered": stopUnanswered,
	"foreign-report":  foreignReport,
	"leaving-worker":  leavingWorker,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// run plays a case and returns the exit status.
func run(play func(*rig) (int, error), program, recordFile string) int {
	r, err := newRig(program, recordFile, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	type result struct {
		broken int
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(r)
		done <- result{broken, err}
	}()
	var res result
	select {
	case res = <-done:
	case <-time.After(timeLimit):
		res.err = fmt.Errorf("the case has not ended after %s", timeLimit)
	}
	switch {
	case res.err != nil:
		r.logf("could not run: %s", res.err)
		fmt.Fprintln(os.Stderr, "could not run:", res.err)
		return 2
	case res.broken > 0:
		r.logf("result: the rule was broken %d times", res.broken)
		return 1
	}
	r.logf("result: the rule held")
	return 0
}
