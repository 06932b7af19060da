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
	// dialTimeout bounds the time to a new connection. Upstreams are within a few
	// milliseconds, so a longer silence means that the instance is gone or that a
	// packet was lost, which is sent again only after a second.
	dialTimeout = 250 * time.Millisecond
	// ackTimeout ends a connection whose sent bytes are not acknowledged.
	ackTimeout = 2 * time.Second
	// Keep-alive probes end a connection on which an answer is awaited from an
	// instance that is gone, after about keepAliveIdle + 2 keepAliveInterval.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Pools holds the connections to all upstreams. It is safe for concurrent use.
type Pools struct {
	// Scope receives the counters. Default: none.
	Scope tally.Scope
	// Now is the clock. Default time.Now.
	Now func() time.Time
	// Dial opens a connection. Default TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	pools map[string]*pool
}

// pool holds the connections to one upstream.
type pool struct {
	address string
	idle    []*conn
	open    int
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
			var option error
			err := c.Control(func(fd uintptr) {
				option = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return option
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// get returns an idle connection, or a new one within the bound of limit
// connections; 0 means no bound.
func (p *Pools) get(ctx context.Context, address string, limit int) (*conn, error) {
	p.mu.Lock()
	p.setDefaults()
	host := p.pools[address]
	if host == nil {
		host = &pool{address: address}
		p.pools[address] = host
	}
	now := p.Now()
	for len(host.idle) > 0 {
		c := host.idle[len(host.idle)-1]
		host.idle = host.idle[:len(host.idle)-1]
		if now.Before(c.keepUntil) && c.clean() {
			p.mu.Unlock()
			return c, nil
		}
		host.open--
		_ = c.Close()
		p.Scope.Counter("upstream_connections_stale").Inc(1)
	}
	if limit > 0 && host.open >= limit {
		p.mu.Unlock()
		return nil, errors.Trace(ErrNoConnection)
	}
	host.open++
	p.mu.Unlock()
	p.Scope.Counter("upstream_connections_opened").Inc(1)
	opened, err := p.Dial(ctx, address)
	if err != nil {
		p.forget(address)
		return nil, errors.Trace(err)
	}
	return newConn(opened), nil
}

// put keeps an idle connection for the next call.
func (p *Pools) put(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	host := p.pools[address]
	if host == nil || !p.Now().Before(c.keepUntil) {
		if host != nil {
			host.open--
		}
		_ = c.Close()
		return
	}
	c.used = true
	host.idle = append(host.idle, c)
}

// drop closes a connection that must not be used again.
func (p *Pools) drop(address string, c *conn) {
	_ = c.Close()
	p.forget(address)
}

func (p *Pools) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if host := p.pools[address]; host != nil {
		host.open--
	}
}

// Sweep closes idle connections whose time is over, and all idle ones of
// addresses that keep does not name. Call it about once a second.
func (p *Pools) Sweep(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pools == nil {
		return
	}
	now := p.Now()
	for address, host := range p.pools {
		kept := host.idle[:0]
		for _, c := range host.idle {
			if keep(address) && now.Before(c.keepUntil) {
				kept = append(kept, c)
				continue
			}
			host.open--
			_ = c.Close()
		}
		host.idle = kept
		if host.open <= 0 && !keep(address) {
			delete(p.pools, address)
		}
	}
}

// Close closes all idle connections.
func (p *Pools) Close() { p.Sweep(func(string) bool { return false }) }
