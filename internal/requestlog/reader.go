package requestlog

import (
	"bufio"
	"io"
	"sort"

	"github.com/juju/errors"
)

// maxLine bounds a line of a log.
const maxLine = 1 << 20

// Read calls keep for each line of a log and returns how many lines were not
// JSON.
func Read(source string, r io.Reader, keep func(Entry)) (skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		e, ok := Parse(source, scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		keep(e)
	}
	return skipped, errors.Annotate(scanner.Err(), source)
}

// SortByTime orders entries by their time; those of one time stay as they are.
func SortByTime(entries []Entry) {
	sort.SliceStable(entries, func(i, j int) bool { return entries[i].Time.Before(entries[j].Time) })
}
