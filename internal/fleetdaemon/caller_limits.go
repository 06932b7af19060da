package fleetdaemon

import (
	"time"

	"rattantide/internal/fleetconfig"
	"rattantide/platform"
)

const (
	// requestMemoryShare is the share of the instance's memory for what callers' requests
	// hold. With the garbage of the collector it is up to twice that. One caller may use half
	// of it freely: at 144 MB, 100 prompts of 180 KB at the same time.
	requestMemoryShare = 1.0 / 4
	// connMemoryShare is the share of the instance's memory for callers' connections, each
	// of which takes connBytes at most: its header, buffers and stack.
	connMemoryShare = 1.0 / 4
	connBytes       = maxHeaderBytes + 16<<10
	// descriptorsPerConn are those that a connection may need: its own, one to an upstream,
	// and its share of those that the daemon needs otherwise.
	descriptorsPerConn = 3
	// defaultMemoryBytes is assumed if the settings do not name the memory.
	defaultMemoryBytes = 512 << 20
)

// requestBytes returns the limit of the budget for what callers' requests hold.
func requestBytes(s *platform.Settings) int64 {
	return int64(requestMemoryShare * float64(memoryOf(s)))
}

// maxCallerConns returns the limit of callers' connections.
func maxCallerConns(s *platform.Settings) int64 {
	limit := int64(connMemoryShare*float64(memoryOf(s))) / connBytes
	if s.MaxDescriptors > 0 {
		limit = min(limit, int64(s.MaxDescriptors)/descriptorsPerConn)
	}
	return max(1, limit)
}

func memoryOf(s *platform.Settings) int64 {
	if s.MemoryBytes <= 0 {
		return defaultMemoryBytes
	}
	return s.MemoryBytes
}

// serverLimits are the limits of callers' connections that an http.Server enforces.
type serverLimits struct {
	headerBytes                int
	headerTimeout, idleTimeout time.Duration
}

// serverLimitsOf returns the limits that a configuration sets, or defaults; config may be nil.
func serverLimitsOf(config *fleetconfig.Config) serverLimits {
	l := serverLimits{headerBytes: maxHeaderBytes, headerTimeout: headerTimeout, idleTimeout: callerIdleTimeout}
	if config == nil {
		return l
	}
	if n := config.Limits.MaxHeaderBytes; n > 0 {
		l.headerBytes = min(n, maxHeaderBytes)
	}
	if t := config.Limits.HeaderTimeout; t > 0 {
		l.headerTimeout = t
	}
	if t := config.Limits.IdleTimeout; t > 0 {
		l.idleTimeout = t
	}
	return l
}
