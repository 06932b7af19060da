package objectapi

// Config configures an API.
type Config struct {
	// WritesPerSecond and ReadsPerSecond are the rate limits; 0 means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
}
