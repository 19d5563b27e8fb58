// Command standin runs the cases of the review: it starts edge instances as separate processes,
// plays the store, the backend servers and the callers, and checks one rule.
//
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// result is the outcome of a case.
type result struct{ broken bool }

// cases holds the cases by name; each adds itself.
var cases = make(map[string]func(r *record, trouble bool) (result, error))

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(*record, bool) (result, error), folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	res, err := play(r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.say("the case couldn't run: %v", err)
		return 2
	case res.broken:
		return 1
	default:
		return 0
	}
}
