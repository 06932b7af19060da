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
	"bars":    barsOf,
	"curve":   plotOf,
	"percent": func(share float64) string { return fmt.Sprintf("%.4g%%", share*100) },
	"number":  func(v float64) string { return fmt.Sprintf("%.3g", v) },
	"instant": func(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) },
}).Parse(pageText))

// WriteHTML writes the report as one page with its plots in SVG. The page
// loads nothing from elsewhere.
func (r *Report) WriteHTML(w io.Writer) error { return pageTemplate.Execute(w, r) }
