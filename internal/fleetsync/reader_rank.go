package fleetsync

// NotReader is the rank of a daemon that reads the store only if no other daemon's
// reports confirm what it knows.
const NotReader = -1
