package upstreamconn

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the time to open a connection. The round-trip time to
	// upstreams is a few milliseconds, so a longer delay means that the instance does
	// not exist any more or that a packet was lost, which is retransmitted only after a
	// second.
	dialTimeout = 250 * time.Millisecond
	// ackTimeout is the time after which a connection with unacknowledged sent bytes
	// is closed.
	ackTimeout = 2 * time.Second
	// Keep-alive probes close a connection without the peer, idle or waiting for a response,
	// after about keepAliveIdle + keepAliveInterval: with ackTimeout set, the kernel gives up
	// at the first probe later than that, whatever the count.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Pools holds the connections to all upstreams. Its zero value is ready for use; the
// fields must not be changed after the first call. It is safe for concurrent use.
type Pools struct {
	// Scope records the counters. Default: no metrics.
	Scope tally.Scope
	// Now returns the current time. Default: time.Now.
	Now func() time.Time
	// Dial opens a connection. Default: TCP with dialTimeout, ackTimeout and
	// keep-alive probes.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Paths learns which upstreams are reached. Default: nobody does.
	Paths PathObserver

	mu    sync.Mutex
	pools map[string]*pool
}

// pool holds the connections to one upstream. It is guarded by Pools.mu.
type pool struct {
	address   string
	idle      []*conn
	openCount int
}

func (p *Pools) setDefaults() {
	if p.pools != nil {
		return
	}
	p.pools = map[string]*pool{}
	if p.Scope == nil {
		p.Scope = tally.NoopScope
	}
	if p.Now == nil {
		p.Now = time.Now
	}
	if p.Dial == nil {
		p.Dial = dialTCP
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var optionErr error
			err := c.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// get returns an idle connection or opens a new one. It returns ErrConnLimit if limit
// connections are open; 0 means no limit.
func (p *Pools) get(ctx context.Context, address string, limit int) (*conn, error) {
	p.mu.Lock()
	p.setDefaults()
	host := p.hostOf(address)
	now := p.Now()
	for len(host.idle) > 0 {
		c := host.idle[len(host.idle)-1]
		host.idle = host.idle[:len(host.idle)-1]
		if now.Before(c.reusableUntil) && c.isClean() {
			p.mu.Unlock()
			return c, nil
		}
		host.openCount--
		_ = c.Close()
		p.Scope.Counter("upstream_connections_stale").Inc(1)
	}
	if limit > 0 && host.openCount >= limit {
		p.mu.Unlock()
		return nil, errors.Trace(ErrConnLimit)
	}
	host.openCount++
	p.mu.Unlock()
	c, err := p.open(ctx, address)
	if err != nil {
		p.decrementOpen(address)
	}
	return c, errors.Trace(err)
}

// open opens a connection that is already counted.
func (p *Pools) open(ctx context.Context, address string) (*conn, error) {
	p.Scope.Counter("upstream_connections_opened").Inc(1)
	netConn, err := p.Dial(ctx, address)
	if p.Paths != nil && (err == nil || ctx.Err() == nil) {
		p.Paths.RecordConnect(address, err)
	}
	if err != nil {
		return nil, err
	}
	return newConn(netConn), nil
}

// Probe opens a connection to an address, to find out whether that succeeds, and keeps it for
// a later request.
func (p *Pools) Probe(ctx context.Context, address string) error {
	p.mu.Lock()
	p.setDefaults()
	p.hostOf(address).openCount++
	p.mu.Unlock()
	c, err := p.open(ctx, address)
	if err != nil {
		p.decrementOpen(address)
		return errors.Trace(err)
	}
	p.putUnused(address, c)
	return nil
}

// hostOf returns the pool of an address. p.mu must be held.
func (p *Pools) hostOf(address string) *pool {
	host := p.pools[address]
	if host == nil {
		host = &pool{address: address}
		p.pools[address] = host
	}
	return host
}

// put returns an idle connection to the pool.
func (p *Pools) put(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	host := p.pools[address]
	if host == nil || !p.Now().Before(c.reusableUntil) {
		if host != nil {
			host.openCount--
		}
		_ = c.Close()
		return
	}
	host.idle = append(host.idle, c)
}

// putUnused returns a connection to the pool on which nothing was sent since get returned it.
func (p *Pools) putUnused(address string, c *conn) {
	if c.reusableUntil.IsZero() {
		c.setIdleTimeout(nil, p.Now())
	}
	p.put(address, c)
}

// drop closes a connection that must not be reused.
func (p *Pools) drop(address string, c *conn) {
	_ = c.Close()
	p.decrementOpen(address)
}

func (p *Pools) decrementOpen(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if host := p.pools[address]; host != nil {
		host.openCount--
	}
}

// Sweep closes the idle connections that have expired or whose address is unknown
// according to isKnown. Call it about once a second.
func (p *Pools) Sweep(isKnown func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pools == nil {
		return
	}
	now := p.Now()
	for address, host := range p.pools {
		remaining := host.idle[:0]
		for _, c := range host.idle {
			if isKnown(address) && now.Before(c.reusableUntil) {
				remaining = append(remaining, c)
				continue
			}
			host.openCount--
			_ = c.Close()
		}
		host.idle = remaining
		if host.openCount <= 0 && !isKnown(address) {
			delete(p.pools, address)
		}
	}
}

// Close closes all idle connections.
func (p *Pools) Close() { p.Sweep(func(string) bool { return false }) }
