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

// EnvPrefix is the prefix of the environment variables: -object-api is
// RATTANTIDE_OBJECT_API.
const EnvPrefix = "RATTANTIDE"

// Parse reads args and the environment and checks the whole. The error is
// flag.ErrHelp, a *findings.Error with all findings, or a flag error. Usage
// goes to output.
func Parse(args []string, output io.Writer) (*Settings, error) {
	s := &Settings{}
	var peers string
	flags := flag.NewFlagSet("rattantided", flag.ContinueOnError)
	flags.SetOutput(output)
	s.register(flags, &peers)
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return nil, errors.Trace(err)
	}
	s.Peers = splitList(peers)
	if flags.NArg() > 0 {
		return nil, errors.Errorf("unexpected argument %q", flags.Arg(0))
	}
	list := &findings.List{}
	s.check(list)
	return s, list.Err()
}

func (s *Settings) register(flags *flag.FlagSet, peers *string) {
	flags.StringVar(&s.Name, "name", "", "unique `name` of the daemon")
	flags.StringVar(&s.Listen, "listen", "127.0.0.1:7410", "`address` to listen on; port 0 takes a free port")
	flags.StringVar(&s.Advertise, "advertise", "", "`address` for callers and peers (default: the address listened on)")
	flags.StringVar(&s.Domain, "domain", "", "failure `domain` of the instance")
	flags.StringVar(&s.Region, "region", "default", "`region` of the failure domain")
	flags.StringVar(&s.ObjectAPI, "object-api", "127.0.0.1:7400", "`address` of the object API")
	flags.StringVar(&s.InstanceList, "instance-list", "", "`address` of the instance list")
	flags.StringVar(&s.Cloud, "cloud", "", "`address` of the cloud API")
	flags.StringVar(peers, "peers", "", "comma-separated `addresses` of daemons to ask at the start")
	flags.StringVar(&s.PeerToken, "peer-token", "", "bearer `token` among daemons")
	flags.StringVar(&s.OperatorToken, "operator-token", "", "bearer `token` of operators")
	flags.StringVar(&s.TLSCert, "tls-cert", "", "PEM `file` with the certificate")
	flags.StringVar(&s.TLSKey, "tls-key", "", "PEM `file` with the private key")
	flags.StringVar(&s.TLSCA, "tls-ca", "", "PEM `file` with the authorities of peers' certificates")
	flags.StringVar(&s.AddressFile, "address-file", "", "`file` that receives the address listened on")
	flags.StringVar(&s.LogLevel, "log-level", "info", "`level`: debug, info, warn or error")
	flags.Float64Var(&s.LogRequests, "log-requests", 0.01, "`share` of successful requests that are logged")
	flags.DurationVar(&s.DrainLimit, "drain-limit", 60*time.Second, "longest wait for open requests at a planned stop")
	flags.DurationVar(&s.NoticeReserve, "notice-reserve", 500*time.Millisecond, "part of a reclaim notice kept for closing connections")
	flags.IntVar(&s.MaxHeaderBytes, "max-header-bytes", 16<<10, "largest request header in `bytes`")
	flags.Int64Var(&s.MaxBodyBytes, "max-body-bytes", 4<<20, "largest request body in `bytes`")
	flags.IntVar(&s.MaxEventBytes, "max-event-bytes", 64<<10, "largest event of an engine's stream in `bytes`")
	flags.Int64Var(&s.MaxObjectBytes, "max-object-bytes", 256<<10, "largest applied object in `bytes`")
	flags.Int64Var(&s.MaxJournalBytes, "max-journal-bytes", 512<<20, "memory of all request records in `bytes`")
	flags.DurationVar(&s.AbandonGrace, "abandon-grace", 30*time.Second, "how long a request without a caller is kept")
	flags.DurationVar(&s.EntryTTL, "entry-ttl", 10*time.Second, "how long callers may keep the list of addresses")
	flags.IntVar(&s.IntentShards, "intent-shards", 16, "shards of at-most-once records, equal on all daemons")
	flags.DurationVar(&s.IntentRetention, "intent-retention", time.Hour, "how long an idempotency key is remembered")
	flags.DurationVar(&s.LeaseTTL, "lease-ttl", 6*time.Second, "lifetime of a duty lease")
	flags.IntVar(&s.MaxProcs, "max-procs", 2, "`threads` that run Go code at a time; 0 leaves it to the runtime")
	flags.IntVar(&s.SubsetSize, "subset-size", 100, "upstreams of a pool that the daemon works with")
}

func splitList(text string) []string {
	var out []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}
