package scheduler

import (
	"context"
	"sort"
	"strings"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/figures"
)

const (
	// linkReportPause is the time between two lines about the use of the link.
	linkReportPause = 5 * time.Second

	// linkReportMost bounds the purposes that a line names, the largest first.
	linkReportMost = 8
)

// reportLink logs from time to time what the entry's link was used for: on a thin link
// that tells what delays everything else.
func (d *Daemon) reportLink(ctx context.Context) error {
	before := make(map[string]figures.LinkUse)
	for clock.Sleep(ctx, linkReportPause) {
		var spent []figures.LinkUse
		total := figures.LinkUse{
			Purpose: "all",
		}
		for _, use := range d.figures.LinkUses() {
			last := before[use.Purpose]
			before[use.Purpose] = use
			use.Sent -= last.Sent
			use.Received -= last.Received
			total.Sent += use.Sent
			total.Received += use.Received
			spent = append(spent, use)
		}
		sort.SliceStable(spent, func(i, j int) bool {
			return spent[i].Sent+spent[i].Received > spent[j].Sent+spent[j].Received
		})
		parts := []string{total.String()}
		for _, use := range spent[:min(len(spent), linkReportMost)] {
			parts = append(parts, use.String())
		}
		d.log.Info("link used", "kb_sent_received", strings.Join(parts, ", "), "seconds", linkReportPause.Seconds())
	}
	return nil
}
