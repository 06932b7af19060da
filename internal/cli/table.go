package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// table prints rows in aligned columns. An empty cell is printed as "-".
type table struct {
	writer *tabwriter.Writer
}

func newTable(w io.Writer, columns ...string) *table {
	t := &table{writer: tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)}
	t.row(columns...)
	return t
}

func (t *table) row(cells ...string) {
	for i, cell := range cells {
		if cell == "" {
			cells[i] = "-"
		}
	}
	fmt.Fprintln(t.writer, strings.Join(cells, "\t"))
}

func (t *table) flush() { _ = t.writer.Flush() }
