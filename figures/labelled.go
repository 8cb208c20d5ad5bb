package figures

import "fmt"

// Sample is one value of a gauge that is kept by two labels.
type Sample struct {
	// Labels are the values of the gauge's labels, in their order.
	Labels [2]string
	Value  float64
}

// labelledGauge is a gauge by two labels that is read whenever it is asked for.
type labelledGauge struct {
	names [2]string
	read  func() []Sample
}

// LabelledGauge shows figures by two labels that are read whenever they are asked for; the name
// says their unit.
func (s *Set) LabelledGauge(name string, labels [2]string, read func() []Sample) {
	s.labelled.LoadOrStore(name, &labelledGauge{
		names: labels,
		read:  read,
	})
}

// lines returns the values, one a line.
func (g *labelledGauge) lines(name string) []string {
	var lines []string
	for _, sample := range g.read() {
		lines = append(lines, fmt.Sprintf("lemonstream_%s{%s=%q,%s=%q} %g", name, g.names[0], sample.Labels[0], g.names[1], sample.Labels[1], sample.Value))
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
