package peer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/conns"
	"lemonstream.dev/lemonstream/feed"
	"lemonstream.dev/lemonstream/outside"
)

// changesSlack is added to the timeout of a long poll for changes. The latency between
// availability zones is about 1 ms.
const changesSlack = 250 * time.Millisecond

// changedRow encodes one changed row of a table in an answer to another entry.
type changedRow struct {
	Part    string `cbor:"1,keyasint,omitempty"`
	Name    string `cbor:"2,keyasint"`
	Value   []byte `cbor:"3,keyasint,omitempty"`
	Version int64  `cbor:"4,keyasint"`
	Gone    bool   `cbor:"5,keyasint,omitempty"`

	// Packed replaces Value for large values; it is compressed with DEFLATE (RFC 1951).
	Packed []byte `cbor:"6,keyasint,omitempty"`
}

// changesAnswer is the body of an answer with the changes of a table.
type changesAnswer struct {
	Rows    []changedRow `cbor:"1,keyasint,omitempty"`
	Version int64        `cbor:"2,keyasint"`

	// AgeMicros and HeldMicros are feed.Passed.Age and feed.Passed.Held in microseconds.
	AgeMicros  int64 `cbor:"3,keyasint"`
	HeldMicros int64 `cbor:"4,keyasint"`
}

// Changes requests the changes of a table after a version from an entry. The entry may delay
// its answer by at most wait (long polling). The error is a *outside.HistoryGoneError if the
// entry no longer has these changes, and a *feed.BusyError if its link has no capacity for them.
func (c *Client) Changes(ctx context.Context, to netip.AddrPort, table string, after int64, wait time.Duration) (feed.Passed, error) {
	status, body, err := c.call(ctx, pathChanges, url.Values{
		"table":   {table},
		"after":   {strconv.FormatInt(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}, conns.Call{
		Method: http.MethodGet,
		To:     to,
		Within: wait + changesSlack,
		Wait:   wait,
	})
	if err != nil {
		return feed.Passed{}, err
	}
	switch status {
	case http.StatusGone:
		return feed.Passed{}, &outside.HistoryGoneError{
			Table: table,
			After: after,
		}
	case http.StatusTooManyRequests:
		return feed.Passed{}, &feed.BusyError{
			Table: table,
		}
	}
	var answer changesAnswer
	if err := cbor.Unmarshal(body, &answer); err != nil {
		return feed.Passed{}, fmt.Errorf("changes of %s from %s: %w", table, to, err)
	}
	return answer.passed(table)
}

// changes handles a request for the changes of a table.
func (s *Server) changes(c *gin.Context) {
	after, err := strconv.ParseInt(c.Query("after"), 10, 64)
	if err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	wait, err := strconv.ParseInt(c.Query("wait_ms"), 10, 64)
	if err != nil || wait < 0 {
		c.Status(http.StatusBadRequest)
		return
	}
	passed, err := s.Pass(c.Request.Context(), c.Query("table"), after, time.Duration(wait)*time.Millisecond)
	var gone *outside.HistoryGoneError
	if errors.As(err, &gone) {
		c.Status(http.StatusGone)
		return
	}
	if err != nil {
		c.String(http.StatusServiceUnavailable, err.Error())
		return
	}
	body, err := s.encodeChanges(passed)
	if err != nil {
		c.String(http.StatusInternalServerError, err.Error())
		return
	}
	if len(passed.Rows) > 0 && !s.PassBudget.Take(len(body), time.Now()) {
		c.Status(http.StatusTooManyRequests)
		return
	}
	c.Data(http.StatusOK, "application/cbor", body)
}

// encodeChanges returns the body of an answer, with large values compressed.
func (s *Server) encodeChanges(passed feed.Passed) ([]byte, error) {
	answer := changesAnswer{
		Version:    passed.Version,
		AgeMicros:  passed.Age.Microseconds(),
		HeldMicros: passed.Held.Microseconds(),
	}
	for _, row := range passed.Rows {
		changed := changedRow{
			Part:    row.Key.Part,
			Name:    row.Key.Name,
			Value:   row.Value,
			Version: row.Version,
			Gone:    row.Gone,
		}
		if len(row.Value) >= minPackSize {
			packed, err := s.packed.get(row)
			if err != nil {
				return nil, err
			}
			changed.Value = nil
			changed.Packed = packed
		}
		answer.Rows = append(answer.Rows, changed)
	}
	return cbor.Marshal(answer)
}

func (a changesAnswer) passed(table string) (feed.Passed, error) {
	passed := feed.Passed{
		Version: a.Version,
		Age:     time.Duration(a.AgeMicros) * time.Microsecond,
		Held:    time.Duration(a.HeldMicros) * time.Microsecond,
	}
	for _, row := range a.Rows {
		value := row.Value
		if len(row.Packed) > 0 {
			var err error
			if value, err = unpack(row.Packed); err != nil {
				return feed.Passed{}, fmt.Errorf("row %s of %s: %w", row.Name, table, err)
			}
		}
		passed.Rows = append(passed.Rows, outside.Row{
			Key: outside.Key{
				Table: table,
				Part:  row.Part,
				Name:  row.Name,
			},
			Value:   value,
			Version: row.Version,
			Gone:    row.Gone,
		})
	}
	return passed, nil
}
