package operate_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/burn"
	"lemonstream.dev/lemonstream/operate"
)

func TestPageNeedsNothingFromOutside(t *testing.T) {
	is := is.New(t)
	counts := burn.Counts{}
	counts[burn.Whole] = 995
	counts[burn.Refused] = 5
	report := operate.ReportAnswer{
		Entries: []string{"entry1"},
		Missing: []string{"entry2"},
		Services: []operate.ServiceReport{{
			Service:   "<guichet>",
			Objective: 0.999,
			Windows: []burn.Spend{
				burn.Spent(counts, time.Hour, 0.999),
			},
		}},
	}
	var page strings.Builder
	is.NoErr(report.WritePage(&page))
	text := page.String()
	is.True(strings.Contains(text, "<svg"))
	is.True(strings.Contains(text, "entry2"))        // Who is missing is said.
	is.True(strings.Contains(text, "<td>5.00</td>")) // 0.5% of a budget of 0.1%.
	is.True(!strings.Contains(text, "<guichet>"))    // Names are escaped.
	for _, outside := range []string{"src=", "@import", "<link"} {
		is.True(!strings.Contains(text, outside))
	}
}
