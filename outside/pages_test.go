package outside_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/outside"
)

// slowLinkTable returns a table with the given number of rows, each of which takes the given
// time to transfer. A read that exceeds the read timeout returns an *UncertainError. The limit
// of every read is appended to asked.
func slowLinkTable(rows int, each time.Duration, asked *[]int) outside.Table {
	const within = 900 * time.Millisecond
	return outside.Table{
		Get: func(_ context.Context, table, part, from string, limit int) (outside.Page, error) {
			*asked = append(*asked, limit)
			page := outside.Page{
				Version: 7,
			}
			for i := range rows {
				name := fmt.Sprintf("row-%05d", i)
				if name < from {
					continue
				}
				if len(page.Rows) == limit {
					page.More = true
					break
				}
				page.Rows = append(page.Rows, outside.Row{
					Key: outside.Key{
						Table: table,
						Part:  part,
						Name:  name,
					},
				})
			}
			took := time.Duration(len(page.Rows)) * each
			time.Sleep(min(took, within))
			if took > within {
				return outside.Page{}, &outside.UncertainError{
					Call:  "read",
					Cause: context.DeadlineExceeded,
				}
			}
			return page, nil
		},
	}
}

// TestReadCompletesOverAnyLink reads large parts over slow and fast links: each row arrives
// once, in order.
func TestReadCompletesOverAnyLink(t *testing.T) {
	for name, each := range map[string]time.Duration{
		"200 Mbit/s": 60 * time.Microsecond,
		"2 Mbit/s":   6 * time.Millisecond,
		"a tenth":    60 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var asked []int
				rows, version, err := slowLinkTable(1203, each, &asked).ReadAll(t.Context(), "t", "p")
				is.NoErr(err)
				is.Equal(version, int64(7))
				is.Equal(len(rows), 1203)
				for i, row := range rows {
					is.Equal(row.Key.Name, fmt.Sprintf("row-%05d", i))
				}
			})
		})
	}
}

// TestReadOverFastLinkTakesFewCalls limits the number of calls that the small first pages
// cause over a link that could transfer all rows quickly.
func TestReadOverFastLinkTakesFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var asked []int
		_, _, err := slowLinkTable(2000, 60*time.Microsecond, &asked).ReadAll(t.Context(), "t", "p")
		is.NoErr(err)
		is.True(len(asked) <= 8)
	})
}

// TestReadOfUnavailableStoreEnds covers a store that never answers: the read gives up after a
// few tries.
func TestReadOfUnavailableStoreEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var asked []int
		_, _, err := slowLinkTable(1, time.Hour, &asked).ReadAll(t.Context(), "t", "p")
		is.True(outside.IsUncertain(err))
		is.Equal(len(asked), 3)
	})
}
