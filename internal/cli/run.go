package cli

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
)

// exitHelp is printed below the list of subcommands.
const exitHelp = `
Exit codes: 0 success, 1 failure, 2 usage error, 3 conflict (the object was
changed in the meantime), 4 move undone, 5 system unavailable or outcome unknown.

Examples:
  export RATTANTIDE_ADDRESS=127.0.0.1:7410,127.0.0.1:7411
  rattantide apply -f config.yaml
  rattantide get routes
  rattantide move briefs -to briefs-v2 -deadline 10m
`

// Run executes the subcommand that args select and returns the exit code.
func Run(ctx context.Context, args []string, env Env) int {
	top := flag.NewFlagSet("rattantide", flag.ContinueOnError)
	top.SetOutput(env.Stderr)
	commander := subcommands.NewCommander(top, "rattantide")
	commander.Output, commander.Error = env.Stdout, env.Stderr
	commander.Explain = func(w io.Writer) {
		fmt.Fprint(w, "Usage: rattantide COMMAND [flags] [arguments]\n\n")
		commander.VisitGroups(func(g *subcommands.CommandGroup) { commander.ExplainGroup(w, g) })
		fmt.Fprint(w, "Use \"rattantide help COMMAND\" for flags and examples.\n", exitHelp)
	}
	commander.Register(commander.HelpCommand(), "help")
	for _, command := range objectCommands(&env) {
		commander.Register(command, "objects")
	}
	for _, command := range systemCommands(&env) {
		commander.Register(command, "the running system")
	}
	if err := top.Parse(args); err != nil {
		return int(ExitUsage)
	}
	return int(commander.Execute(ctx))
}

func objectCommands(env *Env) []subcommands.Command {
	shared := commonFlags{env: env}
	return []subcommands.Command{
		&applyCommand{commonFlags: shared},
		&getCommand{commonFlags: shared},
		&describeCommand{commonFlags: shared},
		&deleteCommand{commonFlags: shared},
		&moveCommand{commonFlags: shared},
	}
}

func systemCommands(env *Env) []subcommands.Command {
	shared := commonFlags{env: env}
	return []subcommands.Command{
		&statusCommand{commonFlags: shared},
		&explainCommand{commonFlags: shared},
		&logsCommand{commonFlags: shared},
		&burnCommand{commonFlags: shared},
		&drainCommand{commonFlags: shared},
		&demoCommand{env: env},
	}
}
