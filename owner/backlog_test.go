package owner_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
)

const (
	// slowLinkBytes is how many bytes a link of 2 Mbit/s transfers per second. readTimeout is
	// the timeout of a read.
	slowLinkBytes = 250_000
	readTimeout   = 900 * time.Millisecond

	// backlog is the number of queued jobs. A job takes about 1.5 kB, so that reading all of
	// them takes 6 s on that link.
	backlog = 1000
)

// withSlowLink returns a table whose reads take as long as the transfer of their rows over a
// slow link. A read that takes longer than readTimeout fails without an answer.
func withSlowLink(table outside.Table) outside.Table {
	read := table.Get
	table.Get = func(ctx context.Context, name, part, from string, limit int) (outside.Page, error) {
		page, err := read(ctx, name, part, from, limit)
		bytes := 0
		for _, row := range page.Rows {
			bytes += len(row.Value)
		}
		took := time.Duration(bytes) * time.Second / slowLinkBytes
		time.Sleep(min(took, readTimeout))
		if took > readTimeout {
			return outside.Page{}, &outside.UncertainError{
				Call:  "read",
				Cause: context.DeadlineExceeded,
			}
		}
		return page, err
	}
	return table
}

// TestOwnerKeepsServiceWhileReadingLongBacklog has entries with slow links claim a service
// whose jobs piled up while it had no owner. The first owner has to keep the service until it
// has read all jobs, although another entry would replace a silent owner.
func TestOwnerKeepsServiceWhileReadingLongBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows := standin.NewRows()
		for i := range backlog {
			waiting := record(fmt.Sprintf("job-%04d", i))
			waiting.Spec.Text = strings.Repeat("x", 1400)
			rows.Write(owner.IntakeKey("s", waiting.ID), waiting.Encode())
		}
		a := newEntryOn(t, "a", withSlowLink(rows.Table()), alive("a"))
		until(t, "the entry takes the service", func() bool { return a.lines.of("service taken") > 0 })
		b := newEntryOn(t, "b", withSlowLink(rows.Table()), a.answerPing("a"))
		until(t, "the owner serves", a.owns)
		is.Equal(a.lines.of("service taken"), 1)
		is.Equal(b.lines.of("service taken"), 0)
	})
}
