package settings

import (
	"flag"
	"io"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"

	"rattantide/internal/findings"
)

// EnvPrefix is the prefix of the environment variables. For example,
// RATTANTIDE_OBJECT_API sets -object-api.
const EnvPrefix = "RATTANTIDE"

// Parse reads settings from args and the environment and validates them. Flags
// take precedence over environment variables. The error is flag.ErrHelp, a
// *findings.Error with all findings, or an error about the flags. The usage text
// is written to output.
func Parse(args []string, output io.Writer) (*Settings, error) {
	s := &Settings{}
	var peers string
	flags := flag.NewFlagSet("rattantided", flag.ContinueOnError)
	flags.SetOutput(output)
	s.registerFlags(flags, &peers)
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return nil, errors.Trace(err)
	}
	s.Peers = splitList(peers)
	if flags.NArg() > 0 {
		return nil, errors.Errorf("unexpected argument %q", flags.Arg(0))
	}
	list := &findings.List{}
	s.validate(list)
	return s, list.Err()
}

func (s *Settings) registerFlags(flags *flag.FlagSet, peers *string) {
	flags.StringVar(&s.Name, "name", "", "unique `name` of the daemon")
	flags.StringVar(&s.Listen, "listen", "127.0.0.1:7410", "`address` to listen on; port 0 selects a free port")
	flags.StringVar(&s.Advertise, "advertise", "", "`address` that callers and peers connect to (default: the listen address)")
	flags.StringVar(&s.Domain, "domain", "", "failure `domain` of the instance")
	flags.StringVar(&s.Region, "region", "default", "`region` of the failure domain")
	flags.StringVar(&s.ObjectAPIAddress, "object-api", "127.0.0.1:7400", "`address` of the object API")
	flags.StringVar(&s.InstanceListAddress, "instance-list", "", "`address` of the instance list")
	flags.StringVar(&s.CloudAddress, "cloud", "", "`address` of the cloud API")
	flags.StringVar(peers, "peers", "", "comma-separated `addresses` of daemons to contact at startup")
	flags.StringVar(&s.PeerToken, "peer-token", "", "bearer `token` for calls between daemons")
	flags.StringVar(&s.OperatorToken, "operator-token", "", "bearer `token` of operators")
	flags.StringVar(&s.TLSCert, "tls-cert", "", "PEM `file` with the certificate")
	flags.StringVar(&s.TLSKey, "tls-key", "", "PEM `file` with the private key")
	flags.StringVar(&s.TLSCA, "tls-ca", "", "PEM `file` with the CA certificates that verify peers")
	flags.StringVar(&s.AddressFile, "address-file", "", "`file` to write the listen address to")
	flags.StringVar(&s.LogLevel, "log-level", "info", "`level`: debug, info, warn or error")
	flags.Float64Var(&s.LogRequestShare, "log-requests", 0.01, "`share` of successful requests that are logged")
	flags.DurationVar(&s.DrainLimit, "drain-limit", 60*time.Second, "maximum time to wait for open requests at a planned stop")
	flags.DurationVar(&s.NoticeReserve, "notice-reserve", 500*time.Millisecond, "time at the end of a reclaim notice reserved for closing connections")
	flags.IntVar(&s.MaxHeaderBytes, "max-header-bytes", 16<<10, "maximum size of a request header in `bytes`")
	flags.Int64Var(&s.MaxBodyBytes, "max-body-bytes", 4<<20, "maximum size of a request body in `bytes`")
	flags.IntVar(&s.MaxEventBytes, "max-event-bytes", 64<<10, "maximum size of an event in an engine's stream in `bytes`")
	flags.Int64Var(&s.MaxObjectBytes, "max-object-bytes", 256<<10, "maximum size of an applied object in `bytes`")
	flags.Int64Var(&s.MaxJournalBytes, "max-journal-bytes", 512<<20, "maximum memory for all request records in `bytes`")
	flags.DurationVar(&s.AbandonGrace, "abandon-grace", 30*time.Second, "how long a request continues after its caller has disconnected")
	flags.DurationVar(&s.EntryTTL, "entry-ttl", 10*time.Second, "how long callers may cache the list of daemon addresses")
	flags.IntVar(&s.IntentShards, "intent-shards", 16, "number of shards of at-most-once records; must be equal on all daemons")
	flags.DurationVar(&s.IntentRetention, "intent-retention", time.Hour, "how long an idempotency key is retained")
	flags.DurationVar(&s.LeaseTTL, "lease-ttl", 6*time.Second, "lifetime of a duty lease")
	flags.IntVar(&s.MaxProcs, "max-procs", 2, "number of `threads` that run Go code concurrently; 0 uses the default of the Go runtime")
	flags.IntVar(&s.SubsetSize, "subset-size", 100, "maximum number of upstreams of a pool that the daemon uses")
}

// splitList splits text at commas, trims white space and drops empty items.
func splitList(text string) []string {
	var items []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
