package entry

// Entry is the address of a daemon.
type Entry struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
}
