// Command stand runs one review case: it starts stand-ins of the platform, the servers and
// the clients, starts the project's daemons as separate processes, causes the disruption and
// checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the names of the cases to their functions. A function returns whether the rule
// was broken.
var cases = map[string]func(*run) (bool, error){
	"exposure-later":   exposureLater,
	"twice-extra":      twiceExtra,
	"recover-replaced": recoverReplaced,
	"exposure-reorder": exposureReorder,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/rattantide-gateway", "the daemon's program")
	recordPath := flag.String("record", "record.txt", "file to which the record is written")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	flag.Parse()
	os.Exit(execute(*name, *program, *recordPath, *trouble))
}

func execute(name, program, recordPath string, trouble bool) int {
	fn := cases[name]
	if fn == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	r, err := newRun(program, recordPath, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		r.close()
		os.Exit(exitNotRun)
	}()
	broken, err := fn(r)
	switch {
	case err != nil:
		r.logf("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case broken:
		r.logf("result: the rule was broken")
		return exitBroken
	}
	r.logf("result: the rule held")
	return exitHeld
}
