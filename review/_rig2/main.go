// Command rig plays the scripted cases of the second review. It starts the project's gateways and
// sidecars as processes, with the commands of the deploy file, on loopback addresses, with workers, a
// store and clients of its own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held, broken, notRun = 0, 1, 2
)

// cases are the cases by name. Each returns whether the rule held, or an error if the case could not run.
var cases = map[string]func(c *cell, trouble bool) (bool, error){
	"blame":     playBlame,
	"cancel":    playCancel,
	"drain":     playDrain,
	"label":     playLabel,
	"late-copy": playLateCopy,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE DIR")
		os.Exit(notRun)
	}
	if os.Args[1] == "worker" {
		fmt.Fprintln(os.Stderr, runWorker(os.Args[2]))
		os.Exit(notRun)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(notRun)
	}
	c, err := newCell(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		c.close()
		os.Exit(notRun)
	}()
	ok, err := play(c, os.Getenv("TROUBLE") != "0")
	c.close()
	switch {
	case err != nil:
		c.note("not run: %s", err)
		os.Exit(notRun)
	case !ok:
		os.Exit(broken)
	}
	os.Exit(held)
}
