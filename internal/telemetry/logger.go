package telemetry

import (
	"io"

	"github.com/charmbracelet/log"
)

// NewLogger returns a logger that writes JSON lines to w. It returns an error if the
// level is unknown.
func NewLogger(w io.Writer, level string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	return log.NewWithOptions(w, log.Options{
		Level:           parsed,
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
	}), nil
}

// Discard returns a logger that discards all lines.
func Discard() *log.Logger {
	return log.NewWithOptions(io.Discard, log.Options{Formatter: log.JSONFormatter})
}
