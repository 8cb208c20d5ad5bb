package figures

import (
	"fmt"
	"strings"
)

// Sample is one value of a labelled gauge.
type Sample struct {
	// Labels are the values of the gauge's labels, one for each, in their order.
	Labels []string
	Value  float64
}

// labelledGauge is a gauge by labels that is read whenever it is asked for.
type labelledGauge struct {
	names []string
	read  func() []Sample
}

// LabelledGauge shows figures by labels that are read whenever they are asked for; the name
// says their unit.
func (s *Set) LabelledGauge(name string, labels []string, read func() []Sample) {
	s.labelled.LoadOrStore(name, &labelledGauge{
		names: labels,
		read:  read,
	})
}

// lines returns the values, one a line.
func (g *labelledGauge) lines(name string) []string {
	var lines []string
	for _, sample := range g.read() {
		pairs := make([]string, 0, len(g.names))
		for i, label := range g.names {
			pairs = append(pairs, fmt.Sprintf("%s=%q", label, sample.Labels[i]))
		}
		lines = append(lines, fmt.Sprintf("lemonstream_%s{%s} %g", name, strings.Join(pairs, ","), sample.Value))
	}
	return lines
}

// labelledLines returns the values of all labelled gauges, one a line.
func (s *Set) labelledLines() []string {
	var lines []string
	s.labelled.Range(func(name, gauge any) bool {
		if g, ok := gauge.(*labelledGauge); ok {
			lines = append(lines, g.lines(fmt.Sprint(name))...)
		}
		return true
	})
	return lines
}
