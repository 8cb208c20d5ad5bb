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

// changesSlack is added to the time for which a question for changes may be held; zones are
// about 1 ms apart.
const changesSlack = 250 * time.Millisecond

// changedRow is a row of a table's changes between entries.
type changedRow struct {
	Part    string `cbor:"1,keyasint,omitempty"`
	Name    string `cbor:"2,keyasint"`
	Value   []byte `cbor:"3,keyasint,omitempty"`
	Version int64  `cbor:"4,keyasint"`
	Gone    bool   `cbor:"5,keyasint,omitempty"`
}

// changesAnswer is what an entry passes on of a table.
type changesAnswer struct {
	Rows    []changedRow `cbor:"1,keyasint,omitempty"`
	Version int64        `cbor:"2,keyasint"`

	// AgeMicros and HeldMicros are feed.Passed's spans in microseconds.
	AgeMicros  int64 `cbor:"3,keyasint"`
	HeldMicros int64 `cbor:"4,keyasint"`
}

// Changes asks an entry for the changes of a table after a version, and lets it hold the
// question for the given time at the most.
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
	return answer.passed(table), nil
}

// changes answers a question for the changes of a table.
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
	var busy *feed.BusyError
	switch {
	case errors.As(err, &gone):
		c.Status(http.StatusGone)
		return
	case errors.As(err, &busy):
		c.Status(http.StatusTooManyRequests)
		return
	case err != nil:
		c.String(http.StatusServiceUnavailable, err.Error())
		return
	}
	body, err := cbor.Marshal(changesOf(passed))
	if err != nil {
		c.String(http.StatusInternalServerError, err.Error())
		return
	}
	c.Data(http.StatusOK, "application/cbor", body)
}

func changesOf(passed feed.Passed) changesAnswer {
	answer := changesAnswer{
		Version:    passed.Version,
		AgeMicros:  passed.Age.Microseconds(),
		HeldMicros: passed.Held.Microseconds(),
	}
	for _, row := range passed.Rows {
		answer.Rows = append(answer.Rows, changedRow{
			Part:    row.Key.Part,
			Name:    row.Key.Name,
			Value:   row.Value,
			Version: row.Version,
			Gone:    row.Gone,
		})
	}
	return answer
}

func (a changesAnswer) passed(table string) feed.Passed {
	passed := feed.Passed{
		Version: a.Version,
		Age:     time.Duration(a.AgeMicros) * time.Microsecond,
		Held:    time.Duration(a.HeldMicros) * time.Microsecond,
	}
	for _, row := range a.Rows {
		passed.Rows = append(passed.Rows, outside.Row{
			Key: outside.Key{
				Table: table,
				Part:  row.Part,
				Name:  row.Name,
			},
			Value:   row.Value,
			Version: row.Version,
			Gone:    row.Gone,
		})
	}
	return passed
}
