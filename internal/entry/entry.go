package entry

// Entry is a daemon that callers can connect to. Domain is its failure domain.
type Entry struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
}
