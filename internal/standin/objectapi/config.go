package objectapi

// Config sets up an API.
type Config struct {
	// WritesPerSecond and ReadsPerSecond are the rate limits; 0 means none.
	WritesPerSecond float64
	ReadsPerSecond  float64
}
