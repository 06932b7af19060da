package engine

import "time"

// Config sets up an Engine. Zero fields take the defaults of DefaultConfig,
// except times, for which 0 means that the step takes no time.
type Config struct {
	Name    string
	Pool    string
	Version string
	Role    string
	// Slots is the largest number of generations in a batch.
	Slots int
	// MaxWaiting is the longest queue; more work is refused with 429.
	MaxWaiting int
	// TokenTime is the time of a step with one generation in the batch. Each
	// further generation adds TokenGrowth of it.
	TokenTime   time.Duration
	TokenGrowth float64
	// PrefillPerToken is the time to compute one prompt token that is not in
	// the prefix cache.
	PrefillPerToken time.Duration
	// KVTokens is the memory for running generations and the prefix cache.
	KVTokens int
	// Grace is how long a generation without a connection is kept.
	Grace time.Duration
	// CheckFence rejects orders with an older fencing token than one seen.
	CheckFence bool
	// LoadTime is the time to load a version after an order.
	LoadTime time.Duration
	// Weights is the address of the weight store from which a version is read
	// before it is loaded; empty means none.
	Weights string
	// TransferPerToken is the time to export or import one token's KV cache.
	TransferPerToken time.Duration
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// CacheEventLag is the delay of cache events.
	CacheEventLag time.Duration
	// OnCrash is called after a crash was simulated; nil means that the engine
	// goes on with empty memory, as a process that was started again.
	OnCrash func()
}

// DefaultConfig returns figures in the range of a mid-sized engine.
func DefaultConfig() Config {
	return Config{
		Version:          "v1",
		Role:             "mixed",
		Slots:            32,
		MaxWaiting:       256,
		TokenTime:        20 * time.Millisecond,
		TokenGrowth:      0.02,
		PrefillPerToken:  50 * time.Microsecond,
		KVTokens:         256 << 10,
		Grace:            10 * time.Second,
		CheckFence:       true,
		LoadTime:         time.Second,
		TransferPerToken: 2 * time.Microsecond,
		LoadLag:          200 * time.Millisecond,
		CacheEventLag:    300 * time.Millisecond,
	}
}

func (c Config) withDefaults() Config {
	def := DefaultConfig()
	if c.Version == "" {
		c.Version = def.Version
	}
	if c.Role == "" {
		c.Role = def.Role
	}
	if c.Slots <= 0 {
		c.Slots = def.Slots
	}
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = def.MaxWaiting
	}
	if c.KVTokens <= 0 {
		c.KVTokens = def.KVTokens
	}
	if c.Grace <= 0 {
		c.Grace = def.Grace
	}
	return c
}
