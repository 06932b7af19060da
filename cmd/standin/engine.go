package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"rattantide/internal/standin/engine"
)

// exitCodeCrash is the exit code after a simulated crash.
const exitCodeCrash = 70

type engineCommand struct {
	serverFlags
	config      engine.Config
	exitOnCrash bool
}

func (*engineCommand) Name() string     { return "engine" }
func (*engineCommand) Synopsis() string { return "run a stand-in for a model engine" }
func (*engineCommand) Usage() string    { return "engine [flags]\n" }

func (c *engineCommand) SetFlags(flags *flag.FlagSet) {
	c.register(flags)
	def := engine.DefaultConfig()
	flags.StringVar(&c.config.Name, "name", "", "`name` of the instance")
	flags.StringVar(&c.config.Pool, "pool", "", "`pool` of the engine")
	flags.StringVar(&c.config.Version, "version", def.Version, "`version` that is loaded initially")
	flags.StringVar(&c.config.Role, "role", def.Role, "initial `role`")
	flags.IntVar(&c.config.Slots, "slots", def.Slots, "maximum number of generations in a batch")
	flags.IntVar(&c.config.MaxWaiting, "max-waiting", def.MaxWaiting, "maximum length of the queue")
	flags.DurationVar(&c.config.TokenTime, "token-time", def.TokenTime, "duration of a step with one generation in the batch")
	flags.Float64Var(&c.config.TokenGrowth, "token-growth", def.TokenGrowth, "`share` of the token time that each further generation adds to a step")
	flags.DurationVar(&c.config.PrefillPerToken, "prefill-per-token", def.PrefillPerToken, "prefill time per prompt token that is not cached")
	flags.IntVar(&c.config.KVTokens, "kv-tokens", def.KVTokens, "memory for running generations and the prefix cache, in `tokens`")
	flags.DurationVar(&c.config.GracePeriod, "grace", def.GracePeriod, "how long a generation is retained without a connection")
	flags.BoolVar(&c.config.CheckFence, "check-fence", def.CheckFence, "reject orders with an older fencing token")
	flags.DurationVar(&c.config.LoadTime, "load-time", def.LoadTime, "duration of loading a version")
	flags.StringVar(&c.config.WeightsAddress, "weights", "", "`address` of the weight store")
	flags.DurationVar(&c.config.TransferPerToken, "transfer-per-token", def.TransferPerToken, "time to export or import the KV cache of one token")
	flags.DurationVar(&c.config.LoadLag, "load-lag", def.LoadLag, "age of load reports")
	flags.DurationVar(&c.config.CacheEventLag, "cache-event-lag", def.CacheEventLag, "delay of cache events")
	flags.BoolVar(&c.exitOnCrash, "exit-on-crash", false, "exit the process on a simulated crash")
}

func (c *engineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.exitOnCrash {
		c.config.OnCrash = func() { os.Exit(exitCodeCrash) }
	}
	e := engine.New(c.config)
	defer e.Close()
	return c.serve(ctx, c.Name(), e)
}
