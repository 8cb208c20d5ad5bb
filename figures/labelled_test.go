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
		Labels: [2]string{"z0", "s"},
		Value:  3,
	}}
	set.LabelledGauge("evacuated_runs", [2]string{"zone", "service"}, func() []figures.Sample { return samples })
	is.True(strings.Contains(set.Text(), `lemonstream_evacuated_runs{zone="z0",service="s"} 3`))
	samples = nil
	is.True(!strings.Contains(set.Text(), "evacuated_runs"))
}
