package owner_test

import (
	"bytes"
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
)

// oddRows are values that no entry writes.
func oddRows(t *testing.T) map[string][]byte {
	t.Helper()
	rows := map[string][]byte{
		"no bytes":           {},
		"null":               {0xf6},
		"an empty map":       {0xa0},
		"text":               []byte("no row"),
		"JSON":               []byte(`{"1":4,"2":"a"}`),
		"deep":               append(bytes.Repeat([]byte{0x81}, 20_000), 0x01),
		"deep in a field":    append(append([]byte{0xa1, 0x18, 0x63}, bytes.Repeat([]byte{0x81}, 9_000)...), 0x01),
		"endless lists":      append(bytes.Repeat([]byte{0x9f}, 9_000), bytes.Repeat([]byte{0xff}, 9_000)...),
		"a list of 2^62":     {0x9b, 0x40, 0, 0, 0, 0, 0, 0, 0},
		"a map of 2^62":      {0xbb, 0x40, 0, 0, 0, 0, 0, 0, 0},
		"bytes of 2^62":      {0xa1, 0x02, 0x5b, 0x40, 0, 0, 0, 0, 0, 0, 0},
		"cut short":          {0xa2, 0x01, 0x05, 0x02},
		"no UTF-8":           {0xa1, 0x02, 0x62, 0xff, 0xfe},
		"of the most bytes":  bytes.Repeat([]byte{0x01}, 65_536),
		"a key twice":        {0xa2, 0x01, 0x39, 0xff, 0xff, 0x01, 0x39, 0xff, 0xff},
		"number beyond 2^64": {0xa1, 0x01, 0xc2, 0x49, 0x01, 0, 0, 0, 0, 0, 0, 0, 0},
	}
	for name, number := range map[string]any{
		"2^62":         int64(1) << 62,
		"2^63":         uint64(1) << 63,
		"2^64 less 1":  uint64(math.MaxUint64),
		"-1":           -1,
		"-2^63":        int64(math.MinInt64),
		"not a number": math.NaN(),
		"infinite":     math.Inf(1),
		"a long text":  strings.Repeat("x", 5_000),
	} {
		row := map[int]any{
			1: number,
			7: number,
		}
		value, err := cbor.Marshal(row)
		if err != nil {
			t.Fatal(err)
		}
		rows[name] = value
	}
	return rows
}

func ownerRowKey(table string) outside.Key {
	return outside.Key{
		Table: table,
		Part:  "s",
		Name:  table,
	}
}

// Another writer replaced the row of an owner or its heartbeat. Each claim met the row, and the service
// had no owner any more.
func TestServiceHasAnOwnerAfterItsRowsWereReplaced(t *testing.T) {
	for _, table := range []string{"owner", "beat"} {
		for name, value := range oddRows(t) {
			t.Run(table+" "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				rows := standin.NewRows()
				first := newEntry(t, "a", rows, alive("a"))
				until(t, "the first entry owns the service", first.owns)
				rows.Write(ownerRowKey(table), value)
				until(t, "the first entry has noticed", func() bool { return first.lines.of("service lost") > 0 })
				first.group.Stop()
				var claims claimedBeats
				second := newEntryOn(t, "b", claims.table(t, rows), alive("b"))
				until(t, "the second entry owns the service", second.owns)
				is.True(claims.first().Epoch > 1) // Workers have seen the epoch of the first owner.
				is.True(claims.first().UnobservedMillis >= owner.UnobservedFor(time.Second, true).Milliseconds())
			})
		}
	}
}

// The owner of the rows is the first to notice, and knows its epoch.
func TestOwnerClaimsAgainAfterItsRowsWereReplaced(t *testing.T) {
	for _, table := range []string{"owner", "beat"} {
		t.Run(table, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			rows := standin.NewRows()
			var claims claimedBeats
			first := newEntryOn(t, "a", claims.table(t, rows), alive("a"))
			until(t, "the first entry owns the service", first.owns)
			rows.Write(ownerRowKey(table), []byte("no row"))
			until(t, "the first entry has noticed", func() bool { return first.lines.of("service lost") > 0 })
			until(t, "the first entry owns the service again", first.owns)
			claims.mu.Lock()
			defer claims.mu.Unlock()
			is.True(len(claims.list) >= 2)
			is.True(claims.list[1].Epoch > claims.list[0].Epoch)
		})
	}
}

// A row beside that of the owner was taken for it.
func TestRowBesideThatOfTheOwnerNamesNoOwner(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	entry := newEntry(t, "a", rows, alive("a"))
	until(t, "the entry owns the service", entry.owns)
	beside := ownerRowKey("owner")
	beside.Name = "other"
	value, err := cbor.Marshal(owner.Ownership{
		Epoch: 9,
		Owner: "b",
		Peer:  "127.0.0.1:2",
	})
	is.NoErr(err)
	rows.Write(beside, value)
	second := newEntry(t, "b", rows, alive("a"))
	until(t, "the second entry has read the owners", func() bool {
		_, known := second.keeper.Owner("s")
		return known
	})
	address, _ := second.keeper.Owner("s")
	is.Equal(address.String(), "127.0.0.1:1")
	is.True(entry.owns())
	page, err := rows.Table().Get(context.Background(), "owner", "s", "", 0)
	is.NoErr(err)
	is.Equal(len(page.Rows), 2)
}
