package operate

import (
	"bytes"
	"fmt"
	"html/template"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // The form in which plots are drawn.
)

const (
	// plotHeight and plotWidth are the size of one plot.
	plotHeight = 6 * vg.Centimeter
	plotWidth  = 14 * vg.Centimeter

	// barWidth is the width of one bar.
	barWidth = 24
)

// pageText is the page; it needs nothing from outside.
const pageText = `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>lemonstream: service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 60em; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { border: 1px solid #bbb; padding: 0.2em 0.6em; text-align: right; }
.missing { color: #a00; }
</style>
<h1>Service-level burn</h1>
<p>Counted by {{range .Report.Entries}}{{.}} {{end}}</p>
{{with .Report.Missing}}<p class="missing">Not in the report, no answer: {{range .}}{{.}} {{end}}</p>{{end}}
<p>Plans in the longest window: {{range .Report.Plans}}{{.}}; {{else}}none{{end}}</p>
{{range .Services}}
<h2>{{.Service}}, objective {{printf "%.6g" .Objective}}</h2>
<table>
<tr><th>window</th><th>total</th><th>bad</th><th>burn</th><th>refused</th><th>unknown</th><th>late</th><th>failed</th></tr>
{{range .Windows}}<tr><td>{{.Window}}</td><td>{{.Total}}</td><td>{{.Bad}}</td><td>{{printf "%.2f" .Burn}}</td>{{range $i, $n := .By}}{{if $i}}<td>{{$n}}</td>{{end}}{{end}}</tr>
{{end}}</table>
{{.Plot}}
{{end}}
</html>
`

// plotted is a service with its plot.
type plotted struct {
	ServiceReport

	Plot template.HTML
}

// WritePage writes the report as one HTML page that needs nothing from outside.
func (r ReportAnswer) WritePage(to io.Writer) error {
	page, err := template.New("page").Parse(pageText)
	if err != nil {
		return fmt.Errorf("parsing the page: %w", err)
	}
	services := make([]plotted, 0, len(r.Services))
	for _, service := range r.Services {
		drawn, err := service.plot()
		if err != nil {
			return fmt.Errorf("plotting %s: %w", service.Service, err)
		}
		services = append(services, plotted{
			ServiceReport: service,
			Plot:          drawn,
		})
	}
	return page.Execute(to, struct {
		Report   ReportAnswer
		Services []plotted
	}{
		Report:   r,
		Services: services,
	})
}

// plot draws the burn over the windows as SVG.
func (s ServiceReport) plot() (template.HTML, error) {
	drawing := plot.New()
	drawing.Title.Text = s.Service
	drawing.Y.Label.Text = "burn"
	drawing.Y.Min = 0
	var values plotter.Values
	var names []string
	for _, window := range s.Windows {
		values = append(values, window.Burn)
		names = append(names, window.Window.String())
	}
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return "", err
	}
	drawing.Add(bars)
	drawing.NominalX(names...)
	canvas, err := drawing.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", err
	}
	// The drawing is made here from numbers and names of services, which the
	// plotting library escapes; the XML head has no place inside of a page.
	body := svg.Bytes()
	if start := bytes.Index(body, []byte("<svg")); start >= 0 {
		body = body[start:]
	}
	return template.HTML(body), nil //nolint:gosec // See above.
}
