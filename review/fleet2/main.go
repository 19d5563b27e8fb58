// Command fleet2 plays the script cases of the second review: it starts edge instances as separate
// processes, beside stand-ins of the platform's store, the backend servers and the callers, and
// checks one rule of the users' platform.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run.
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

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*fleet, bool) (bool, error){}

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	edge := flag.String("edge", "target/foxtailspoke-edge", "program of the instances")
	recordFile := flag.String("record", "record.txt", "file to write what was sent, answered and run to")
	trouble := flag.Bool("trouble", true, "bring about the disruption")
	flag.Parse()
	play, known := cases[*name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitNotRun
	}
	rec, err := openRecord(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	f, err := newFleet(*edge, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	broken, err := playInTime(play, f, *trouble)
	switch {
	case err != nil:
		rec.printf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		rec.printf("result: the rule was BROKEN")
		return exitBroken
	default:
		rec.printf("result: the rule held")
		return exitHeld
	}
}

// maxPlayTime bounds the time of a case, so that its processes are ended within two minutes.
const maxPlayTime = 110 * time.Second

var errStopped = errors.New("stopped from outside")

// playInTime plays a case unless it is stopped by a signal or takes too long.
func playInTime(play func(*fleet, bool) (bool, error), f *fleet, trouble bool) (bool, error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := play(f, trouble)
		done <- outcome{broken, err}
	}()
	select {
	case o := <-done:
		return o.broken, o.err
	case <-signals:
		return false, errStopped
	case <-time.After(maxPlayTime):
		return false, errors.New("took too long")
	}
}

// within waits until holds returns true, and reports false after d.
func within(d time.Duration, holds func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}
