package proc

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// ticksPerSecond is the number of clock ticks per second in which Linux counts
// processor times under /proc.
const ticksPerSecond = 100

// Usage is the resource usage of a process.
type Usage struct {
	// CPU is the sum of the user and system time since the start of the process.
	CPU time.Duration
	// ResidentBytes is the current resident memory, in bytes.
	ResidentBytes int64
}

// Usage returns the resource usage of the process from /proc.
func (p *Process) Usage() (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return Usage{}, errors.Trace(err)
	}
	// The second field, the name, may contain spaces and ends with the last ")".
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	// The indexes of the user time, the system time, both in clock ticks, and the
	// resident memory, in pages, among the fields after the name.
	const user, system, resident = 11, 12, 21
	if len(fields) <= resident {
		return Usage{}, errors.NotValidf("stat of process %d", p.PID())
	}
	var ticks int64
	for _, field := range []string{fields[user], fields[system]} {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return Usage{}, errors.Trace(err)
		}
		ticks += n
	}
	pages, err := strconv.ParseInt(fields[resident], 10, 64)
	if err != nil {
		return Usage{}, errors.Trace(err)
	}
	return Usage{
		CPU:           time.Duration(ticks) * time.Second / ticksPerSecond,
		ResidentBytes: pages * int64(os.Getpagesize()),
	}, nil
}
