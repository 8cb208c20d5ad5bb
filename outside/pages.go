package outside

import (
	"context"
	"fmt"
	"time"
)

const (
	// firstPageRows, maxPageRows and minPageRows are numbers of rows per page. The first
	// page takes about 0.2 s over a link of 2 Mbit/s with rows of 1.5 kB. The store returns
	// at most 500 rows per read.
	firstPageRows = 32
	maxPageRows   = 500
	minPageRows   = 2

	// targetPageTime is the target duration of one page read. It is a sixth of the read
	// timeout, so that a page also arrives over a link shared with other traffic.
	targetPageTime = 150 * time.Millisecond

	// maxPageFailures is the number of consecutive failed reads after which ReadPages gives
	// up. Each failure halves the number of rows, down to minPageRows. The number of
	// failures is limited because an unavailable store does not answer smaller reads either.
	maxPageFailures = 3
)

// pager decides how many rows the next read of a part requests. It serves parts whose rows
// take longer to transfer than the read timeout: a read of all rows at once would fail on
// every retry.
type pager struct {
	limit    int
	failures int
}

// PageOrderError reports a page whose rows come before the key from which it was requested. The pages
// after it would not end.
type PageOrderError struct {
	Table string
	From  string
	Last  string
}

// Error implements error.
func (e *PageOrderError) Error() string {
	return fmt.Sprintf("page of table %s from %q ends with the row %q", e.Table, e.From, e.Last)
}

// newPager returns a pager for a part that has not been read yet.
func newPager() *pager {
	return &pager{
		limit: firstPageRows,
	}
}

// recordPage adjusts the page size after a page with the given number of rows has arrived.
func (p *pager) recordPage(rows int, after time.Duration) {
	p.failures = 0
	if rows < p.limit {
		return
	}
	switch {
	case after > targetPageTime:
		p.limit = max(minPageRows, p.limit/2)
	case after < targetPageTime/2:
		p.limit = min(maxPageRows, 2*p.limit)
	}
}

// recordFailure halves the page size after a failed read and reports whether to retry.
func (p *pager) recordFailure() bool {
	p.failures++
	p.limit = max(minPageRows, p.limit/2)
	return p.failures < maxPageFailures
}

// ReadAll reads all rows of a part page by page. It returns the version of the first page, so
// that a feed from that version misses no change.
func (t Table) ReadAll(ctx context.Context, table, part string) ([]Row, int64, error) {
	var rows []Row
	version, err := t.ReadPages(ctx, table, part, func(page []Row) error {
		rows = append(rows, page...)
		return nil
	})
	return rows, version, err
}

// ReadPages reads like ReadAll and calls each with every page as it arrives. Only a failed page
// is read again, not the pages before it. An error of each ends the read.
func (t Table) ReadPages(ctx context.Context, table, part string, each func([]Row) error) (int64, error) {
	p := newPager()
	first := int64(0)
	from := ""
	for {
		began := time.Now()
		page, err := t.Get(ctx, table, part, from, p.limit)
		if err != nil {
			if ctx.Err() == nil && IsUncertain(err) && p.recordFailure() {
				continue
			}
			return 0, err
		}
		p.recordPage(len(page.Rows), time.Since(began))
		if from == "" {
			first = page.Version
		}
		if err := each(page.Rows); err != nil {
			return 0, err
		}
		if !page.More || len(page.Rows) == 0 {
			return first, nil
		}
		next := page.Rows[len(page.Rows)-1].Key.Name + "\x00"
		if next <= from {
			return 0, &PageOrderError{
				Table: table,
				From:  from,
				Last:  page.Rows[len(page.Rows)-1].Key.Name,
			}
		}
		from = next
	}
}
