package client

// Entry is the address of a daemon.
type Entry struct {
	// Address has the form host:port.
	Address string `json:"address"`
	// Domain is the daemon's failure domain.
	Domain string `json:"domain"`
}
