// Command standin is the stand-ins of the review's cases: the platform's store, runners,
// clients and the operator, as PROTOCOL.md describes them. Each case is a subcommand that
// also starts the system's processes as the deploy file says. It exits with 1 if the rule
// was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	noRun  = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(noRun)
	}
	cases := map[string]func(rec *record, dir string, withTrouble bool) (int, error){"silence": silence, "encoded-slash": encodedSlash, "late-refusal": lateRefusal, "fatal-part": fatalPart, "take-up": takeUp}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(noRun)
	}
	os.Exit(run(play, os.Args[2]))
}

func run(play func(*record, string, bool) (int, error), path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noRun
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("settings and logs:", dir)
	}
	code, err := play(rec, dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return noRun
	}
	return code
}
