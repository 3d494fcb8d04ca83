// Command rig3 plays one case of the review on the project's own programs as separate processes.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit ends a case that hangs.
const limit = 110 * time.Second

// endWhenAsked ends the processes of the case when it hangs, or when it is asked to end.
func endWhenAsked() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(limit):
		}
		killStarted()
		fmt.Println("the case could not run: it did not end in time, or was asked to end")
		os.Exit(2)
	}()
}

var cases = map[string]func(*record, string, string, bool) (bool, error){
	"cancel-all-killed":       cancelAllKilled,
	"cancel-during-cut":       cancelDuringCut,
	"cancel-before-heal":      cancelBeforeHeal,
	"copy-during-cut":         copyDuringCut,
	"copy-after-replacements": copyAfterReplacements,
}

func main() {
	name := flag.String("case", "", "the case to play")
	folder := flag.String("folder", "", "the folder of the case, for record.txt")
	program := flag.String("program", "target/dandeliongrade", "the program of the project")
	keep := flag.String("keep", "", "a folder that keeps the logs of the processes")
	flag.Parse()
	endWhenAsked()
	os.Exit(play(*name, *folder, *program, *keep))
}

// play returns 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
func play(name, folder, program, keep string) int {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.Close()
	rec := &record{w: f, began: time.Now()}
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "rig3-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer os.RemoveAll(dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, with the disruption: %t", name, trouble)
	playCase := cases[name]
	if playCase == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	broken, err := playCase(rec, program, dir, trouble)
	switch {
	case err != nil:
		rec.logf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	case broken:
		rec.logf("the rule was broken")
		fmt.Println("the rule was broken; see record.txt")
		return 1
	}
	rec.logf("the rule held")
	fmt.Println("the rule held")
	return 0
}
