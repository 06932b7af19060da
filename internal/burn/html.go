package burn

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"time"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"bars":    newBars,
	"curve":   newPlot,
	"percent": func(share float64) string { return fmt.Sprintf("%.4g%%", share*100) },
	"number":  func(v float64) string { return fmt.Sprintf("%.3g", v) },
	"instant": func(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) },
}).Parse(pageText))

// WriteHTML writes the report as a self-contained HTML page with SVG plots. The
// page loads no external resources.
func (r *Report) WriteHTML(w io.Writer) error { return pageTemplate.Execute(w, r) }
