package upstreampath

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// Upstream is an upstream that may be sent requests.
type Upstream struct {
	Pool    string
	Address string
}

// Options configures a Monitor. All fields are required. The functions must be safe for
// concurrent use.
type Options struct {
	// Probe opens a connection to an address.
	Probe func(ctx context.Context, address string) error
	// OnChange is called after the path to a pool was lost or is back.
	OnChange func(pool string, lost bool)
	Now      func() time.Time
	Logger   *log.Logger
	Scope    tally.Scope
}
