package proc

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// ticksPerSecond is the unit of processor times under /proc on Linux.
const ticksPerSecond = 100

// Usage is what a process has used so far.
type Usage struct {
	// CPU is user and system time together.
	CPU time.Duration
	// Resident is the resident memory in bytes.
	Resident int64
}

// Usage reads the process's usage from the kernel.
func (p *Process) Usage() (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return Usage{}, errors.Trace(err)
	}
	// The second field, the name, may hold spaces and ends with the last ")".
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
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
		CPU:      time.Duration(ticks) * time.Second / ticksPerSecond,
		Resident: pages * int64(os.Getpagesize()),
	}, nil
}
