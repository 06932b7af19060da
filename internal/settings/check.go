package settings

import (
	"net"
	"time"

	"github.com/charmbracelet/log"

	"rattantide/internal/findings"
)

// maxStoredObject is the largest value that the object API takes, in bytes.
const maxStoredObject = 1 << 20

func (s *Settings) check(list *findings.List) {
	s.checkIdentity(list)
	s.checkAccess(list)
	s.checkLimits(list)
	if _, err := log.ParseLevel(s.LogLevel); err != nil {
		list.Addf("log-level", "must be debug, info, warn or error, got %q", s.LogLevel)
	}
}

func (s *Settings) checkIdentity(list *findings.List) {
	required(list, "name", s.Name)
	required(list, "domain", s.Domain)
	required(list, "region", s.Region)
	address(list, "listen", s.Listen, true)
	address(list, "advertise", s.Advertise, false)
	address(list, "object-api", s.ObjectAPI, true)
	address(list, "instance-list", s.InstanceList, false)
	address(list, "cloud", s.Cloud, false)
	for _, peer := range s.Peers {
		address(list, "peers", peer, true)
	}
}

func (s *Settings) checkAccess(list *findings.List) {
	required(list, "peer-token", s.PeerToken)
	if s.PeerToken != "" && s.PeerToken == s.OperatorToken {
		list.Addf("operator-token", "must differ from peer-token")
	}
	if (s.TLSCert == "") != (s.TLSKey == "") {
		list.Addf("tls-cert", "and tls-key must be set together")
	}
	if s.TLSCert == "" && !isLoopback(s.Listen) {
		list.Addf("tls-cert", "is required unless listen is a loopback address, because tokens would travel in clear")
	}
}

func (s *Settings) checkLimits(list *findings.List) {
	inRange(list, "log-requests", s.LogRequests, 0, 1)
	inRange(list, "max-header-bytes", float64(s.MaxHeaderBytes), 1<<10, 1<<20)
	inRange(list, "max-body-bytes", float64(s.MaxBodyBytes), 1<<10, 1<<30)
	inRange(list, "max-event-bytes", float64(s.MaxEventBytes), 1<<10, 16<<20)
	inRange(list, "max-object-bytes", float64(s.MaxObjectBytes), 1<<10, maxStoredObject)
	inRange(list, "max-journal-bytes", float64(s.MaxJournalBytes), 1<<20, 1<<36)
	inRange(list, "intent-shards", float64(s.IntentShards), 1, 4096)
	inRange(list, "max-procs", float64(s.MaxProcs), 0, 1024)
	inRange(list, "subset-size", float64(s.SubsetSize), 1, 10000)
	atLeast(list, "drain-limit", s.DrainLimit, 0)
	atLeast(list, "notice-reserve", s.NoticeReserve, 0)
	atLeast(list, "abandon-grace", s.AbandonGrace, time.Second)
	atLeast(list, "entry-ttl", s.EntryTTL, time.Second)
	atLeast(list, "intent-retention", s.IntentRetention, time.Minute)
	atLeast(list, "lease-ttl", s.LeaseTTL, time.Second)
}

func required(list *findings.List, path, value string) {
	if value == "" {
		list.Addf(path, "is missing")
	}
}

func address(list *findings.List, path, value string, must bool) {
	if value == "" {
		if must {
			list.Addf(path, "is missing")
		}
		return
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		list.Addf(path, "must be host:port, got %q", value)
		return
	}
	if net.ParseIP(host) == nil {
		list.Addf(path, "must name an IP address, got %q", value)
	}
}

func isLoopback(value string) bool {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return true // The address itself is reported elsewhere.
	}
	ip := net.ParseIP(host)
	return ip == nil || ip.IsLoopback()
}

func inRange(list *findings.List, path string, value, low, high float64) {
	if value < low || value > high {
		list.Addf(path, "must be %g to %g, got %g", low, high, value)
	}
}

func atLeast(list *findings.List, path string, value, low time.Duration) {
	if value < low {
		list.Addf(path, "must be at least %s, got %s", low, value)
	}
}
