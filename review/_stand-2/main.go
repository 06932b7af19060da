// Command review-stand-2 plays the cases of the second review: it starts the gateways as
// processes beside stand-ins of the platform, the runners and the clients, and checks what
// these have seen.
//
//	review-stand-2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(l *lab, trouble bool) (broken bool, err error){
	"unframed": playUnframed,
	"revoke":   playRevoke,
	"grace":    playGrace,
	"crowd":    playCrowd,
	"part":     playCrashPart,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand-2 CASE RECORD")
		return exitNotRun
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	l, err := newLab(record)
	if err != nil {
		record.say("not run: %v", err)
		return exitNotRun
	}
	defer l.close()
	broken, err := cases[os.Args[1]](l, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.say("not run: %v", err)
		return exitNotRun
	case broken:
		record.say("the rule was broken")
		return exitBroken
	}
	record.say("the rule held")
	return exitHeld
}
