package engine

import "time"

// Config configures an Engine. Zero values of Version, Role, Slots, MaxWaiting,
// KVTokens and GracePeriod are replaced by those of DefaultConfig. For the other
// durations, 0 means no delay.
type Config struct {
	Name    string
	Pool    string
	Version string
	Role    string
	// Slots is the maximum number of generations in a batch.
	Slots int
	// MaxWaiting is the maximum length of the queue. Requests above it are refused
	// with status 429.
	MaxWaiting int
	// TokenTime is the duration of a decoding step with one generation in the
	// batch. Each additional generation adds the fraction TokenGrowth of it.
	TokenTime   time.Duration
	TokenGrowth float64
	// PrefillPerToken is the time to compute one prompt token that is not in
	// the prefix cache.
	PrefillPerToken time.Duration
	// KVTokens is the memory for running generations and the prefix cache, in
	// tokens.
	KVTokens int
	// GracePeriod is how long a generation without a connection is retained.
	GracePeriod time.Duration
	// CheckFence makes the engine reject orders whose fencing token is lower than
	// the highest one that it has accepted.
	CheckFence bool
	// LoadTime is the time to load a model version after an order.
	LoadTime time.Duration
	// WeightsAddress is the address of the weight store from which a version is read
	// before it is loaded. If it is empty, nothing is read.
	WeightsAddress string
	// TransferPerToken is the time to export or import the KV cache of one token.
	TransferPerToken time.Duration
	// LoadLag is the age of the load reports that the engine returns.
	LoadLag time.Duration
	// CacheEventLag is the delay of cache events.
	CacheEventLag time.Duration
	// OnCrash is called after a simulated crash. If it is nil, the engine continues
	// with empty memory, like a restarted process.
	OnCrash func()
}

// DefaultConfig returns values that are typical of a medium-sized model engine.
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
		GracePeriod:      10 * time.Second,
		CheckFence:       true,
		LoadTime:         time.Second,
		TransferPerToken: 2 * time.Microsecond,
		LoadLag:          200 * time.Millisecond,
		CacheEventLag:    300 * time.Millisecond,
	}
}

func (c Config) withDefaults() Config {
	defaults := DefaultConfig()
	if c.Version == "" {
		c.Version = defaults.Version
	}
	if c.Role == "" {
		c.Role = defaults.Role
	}
	if c.Slots <= 0 {
		c.Slots = defaults.Slots
	}
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = defaults.MaxWaiting
	}
	if c.KVTokens <= 0 {
		c.KVTokens = defaults.KVTokens
	}
	if c.GracePeriod <= 0 {
		c.GracePeriod = defaults.GracePeriod
	}
	return c
}
