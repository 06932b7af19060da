package requestlog

import (
	"bufio"
	"io"
	"sort"

	"github.com/juju/errors"
)

// maxLineBytes is the maximum length of a log line; a longer one ends Read with an
// error.
const maxLineBytes = 1 << 20

// Read calls visit for each entry of the log r and returns the number of lines
// that are not JSON. Empty lines are ignored. source names the log in entries and
// errors.
func Read(source string, r io.Reader, visit func(Entry)) (skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		e, ok := Parse(source, scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		visit(e)
	}
	return skipped, errors.Annotate(scanner.Err(), source)
}

// SortByTime sorts entries by time. Entries with equal times keep their order.
func SortByTime(entries []Entry) {
	sort.SliceStable(entries, func(i, j int) bool { return entries[i].Time.Before(entries[j].Time) })
}
