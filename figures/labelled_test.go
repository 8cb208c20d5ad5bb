package figures_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/figures"
)

// TestLabelledGaugeShowsEachValue covers a gauge whose labels come and go, such as zones.
func TestLabelledGaugeShowsEachValue(t *testing.T) {
	is := is.New(t)
	set := figures.New()
	samples := []figures.Sample{{
		Labels: []string{"z0", "s"},
		Value:  3,
	}}
	set.LabelledGauge("evacuated_runs", []string{"zone", "service"}, func() []figures.Sample { return samples })
	is.True(strings.Contains(set.Text(), `lemonstream_evacuated_runs{zone="z0",service="s"} 3`))
	set.LabelledGauge("write_age_ms", []string{"part"}, func() []figures.Sample {
		return []figures.Sample{{
			Labels: []string{"render"},
			Value:  40,
		}}
	})
	is.True(strings.Contains(set.Text(), `lemonstream_write_age_ms{part="render"} 40`+"\n"))
	samples = nil
	is.True(!strings.Contains(set.Text(), "evacuated_runs"))
}
