package cli

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
)

// exitHelp is printed below the list of sub-commands.
const exitHelp = `
Exit codes: 0 ok, 1 failure, 2 usage, 3 conflict (someone else changed the
object), 4 move undone, 5 system unavailable.

Examples:
  export RATTANTIDE_ADDRESS=127.0.0.1:7410,127.0.0.1:7411
  rattantide apply -f config.yaml
  rattantide get routes
  rattantide move briefs -to briefs-v2 -deadline 10m
`

// Run executes one call of the tool and returns its exit code.
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
	shared := common{env: env}
	return []subcommands.Command{
		&applyCommand{common: shared},
		&getCommand{common: shared},
		&describeCommand{common: shared},
		&deleteCommand{common: shared},
		&moveCommand{common: shared},
	}
}

func systemCommands(env *Env) []subcommands.Command {
	shared := common{env: env}
	return []subcommands.Command{
		&statusCommand{common: shared},
		&explainCommand{common: shared},
		&logsCommand{common: shared},
		&burnCommand{common: shared},
		&drainCommand{common: shared},
		&demoCommand{env: env},
	}
}
