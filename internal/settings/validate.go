package settings

import (
	"net"
	"time"

	"github.com/charmbracelet/log"

	"rattantide/internal/findings"
)

// maxStoredObjectBytes is the largest value that the object API accepts.
const maxStoredObjectBytes = 1 << 20

// validate adds a finding to list for every invalid setting.
func (s *Settings) validate(list *findings.List) {
	s.validateIdentity(list)
	s.validateAccess(list)
	s.validateLimits(list)
	if _, err := log.ParseLevel(s.LogLevel); err != nil {
		list.Addf("log-level", "must be debug, info, warn or error, got %q", s.LogLevel)
	}
}

func (s *Settings) validateIdentity(list *findings.List) {
	requireNonEmpty(list, "name", s.Name)
	requireNonEmpty(list, "domain", s.Domain)
	requireNonEmpty(list, "region", s.Region)
	requireAddress(list, "listen", s.Listen, true)
	requireAddress(list, "advertise", s.Advertise, false)
	requireAddress(list, "object-api", s.ObjectAPIAddress, true)
	requireAddress(list, "instance-list", s.InstanceListAddress, false)
	requireAddress(list, "cloud", s.CloudAddress, false)
	for _, peer := range s.Peers {
		requireAddress(list, "peers", peer, true)
	}
}

func (s *Settings) validateAccess(list *findings.List) {
	requireNonEmpty(list, "peer-token", s.PeerToken)
	if s.PeerToken != "" && s.PeerToken == s.OperatorToken {
		list.Addf("operator-token", "must differ from peer-token")
	}
	if (s.TLSCert == "") != (s.TLSKey == "") {
		list.Addf("tls-cert", "and tls-key must be set together")
	}
	if s.TLSCert == "" && !isLoopback(s.Listen) {
		list.Addf("tls-cert", "is required unless listen is a loopback address, because tokens would be sent unencrypted")
	}
}

func (s *Settings) validateLimits(list *findings.List) {
	requireInRange(list, "log-requests", s.LogRequestShare, 0, 1)
	requireInRange(list, "max-header-bytes", float64(s.MaxHeaderBytes), 1<<10, 1<<20)
	requireInRange(list, "max-body-bytes", float64(s.MaxBodyBytes), 1<<10, 1<<30)
	requireInRange(list, "max-event-bytes", float64(s.MaxEventBytes), 1<<10, 16<<20)
	requireInRange(list, "max-object-bytes", float64(s.MaxObjectBytes), 1<<10, maxStoredObjectBytes)
	requireInRange(list, "max-journal-bytes", float64(s.MaxJournalBytes), 1<<20, 1<<36)
	requireInRange(list, "intent-shards", float64(s.IntentShards), 1, 4096)
	requireInRange(list, "max-procs", float64(s.MaxProcs), 0, 1024)
	requireInRange(list, "subset-size", float64(s.SubsetSize), 1, 10000)
	requireAtLeast(list, "drain-limit", s.DrainLimit, 0)
	requireAtLeast(list, "notice-reserve", s.NoticeReserve, 0)
	requireAtLeast(list, "abandon-grace", s.AbandonGrace, time.Second)
	requireAtLeast(list, "entry-ttl", s.EntryTTL, time.Second)
	requireAtLeast(list, "intent-retention", s.IntentRetention, time.Minute)
	requireAtLeast(list, "lease-ttl", s.LeaseTTL, time.Second)
}

func requireNonEmpty(list *findings.List, path, value string) {
	if value == "" {
		list.Addf(path, "is missing")
	}
}

// requireAddress adds a finding unless value is an IP address and a port. An
// empty value is accepted if required is false.
func requireAddress(list *findings.List, path, value string, required bool) {
	if value == "" {
		if required {
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

// isLoopback reports whether value is a loopback address. It is true for an
// invalid address too, so that only one finding is added for it.
func isLoopback(value string) bool {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return true // validateIdentity reports the invalid address.
	}
	ip := net.ParseIP(host)
	return ip == nil || ip.IsLoopback()
}

func requireInRange(list *findings.List, path string, value, low, high float64) {
	if value < low || value > high {
		list.Addf(path, "must be %g to %g, got %g", low, high, value)
	}
}

func requireAtLeast(list *findings.List, path string, value, low time.Duration) {
	if value < low {
		list.Addf(path, "must be at least %s, got %s", low, value)
	}
}
