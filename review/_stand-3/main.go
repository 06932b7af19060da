// Command stand-3 plays the scripted cases of the review: it starts a small deployment with
// the daemon of the deploy file, disturbs it as one case says, and checks one rule. Its exit
// code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// cases are the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(d *deployment, rec *record, trouble bool) (broken bool, err error){
	"directory": playDirectory,
	"encoded":   playEncoded,
	"headers":   playHeaders,
	"memory":    playMemory,
	"unframed":  playUnframed,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/rattantide-gateway", "the daemon")
	path := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return 2
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	d, err := newDeployment(*program)
	if err != nil {
		rec.say("could not run: %v", err)
		return 2
	}
	defer d.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %t", *name, trouble)
	broken, err := play(d, rec, trouble)
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		return 2
	case broken:
		rec.say("the rule was broken")
		return 1
	}
	rec.say("the rule held")
	return 0
}
