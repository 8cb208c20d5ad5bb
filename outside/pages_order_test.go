package outside_test

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/outside"
)

// A store that answers each read with the same page and says that there is more was read for ever, and
// all rows were kept.
func TestPagesThatDoNotAdvanceEndTheRead(t *testing.T) {
	is := is.New(t)
	const enough = 1000
	reads := 0
	table := outside.Table{
		Get: func(_ context.Context, table, part, _ string, _ int) (outside.Page, error) {
			if reads++; reads > enough {
				return outside.Page{}, context.DeadlineExceeded
			}
			return outside.Page{
				Rows: []outside.Row{{
					Key: outside.Key{
						Table: table,
						Part:  part,
						Name:  "a",
					},
				}},
				More: true,
			}, nil
		},
	}
	_, _, err := table.ReadAll(context.Background(), "t", "p")
	var order *outside.PageOrderError
	is.True(errors.As(err, &order))
	is.Equal(order.Last, "a")
	is.Equal(reads, 2)
}
