package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/outside"
)

// storeRow is a row as the users' store writes it.
type storeRow struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"tlsKey"`
	Value []byte `json:"value,omitempty"`
	Ver   int64  `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

type storeRequest struct {
	ExpectedRev []storeRow `json:"expectedRev"`
	Put         []storeRow `json:"put"`
	Remove      []storeRow `json:"remove"`
}

type storeAnswer struct {
	Rows  []storeRow `json:"rows"`
	More  bool       `json:"more"`
	Ver   int64      `json:"ver"`
	NowMs int64      `json:"now_ms"`
}

// StoreRoutes serves rows by the protocol that the users' store publishes.
func StoreRoutes(router *gin.Engine, rows *Rows) {
	table := rows.Table()
	router.POST("/rows-tx", func(c *gin.Context) { storeTransact(c, table) })
	router.GET("/rows-get", func(c *gin.Context) { storeGet(c, table) })
	router.GET("/rows-feed", func(c *gin.Context) { storeFeed(c, table) })
}

func storeTransact(c *gin.Context, table outside.Table) {
	var request storeRequest
	if err := json.NewDecoder(c.Request.Body).Decode(&request); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	tx := outside.Transaction{}
	for _, row := range request.ExpectedRev {
		tx.Checks = append(tx.Checks, outside.Check{
			Key:     row.key(),
			Version: row.Ver,
		})
	}
	for _, row := range request.Put {
		if len(row.Value) == 0 || row.Key == "" || row.Table == "" {
			c.String(http.StatusBadRequest, "a table, key or value is missing")
			return
		}
		tx.Puts = append(tx.Puts, outside.Put{
			Key:   row.key(),
			Value: row.Value,
		})
	}
	for _, row := range request.Remove {
		tx.Removes = append(tx.Removes, row.key())
	}
	receipt, err := table.Transact(c.Request.Context(), tx)
	var conflict *outside.ConflictError
	switch {
	case err == nil:
		c.JSON(http.StatusOK, storeAnswer{
			Ver:   receipt.Version,
			NowMs: receipt.Now.Milliseconds(),
		})
	case errors.As(err, &conflict):
		c.JSON(http.StatusPreconditionFailed, storeAnswer{
			Rows: toStore(conflict.Rows),
		})
	case outside.IsRejected(err):
		c.String(http.StatusBadRequest, err.Error())
	default:
		c.Status(http.StatusServiceUnavailable)
	}
}

func storeGet(c *gin.Context, table outside.Table) {
	page, err := table.Get(c.Request.Context(), c.Query("table"), c.Query("part"), c.Query("rangeStart"), 0)
	if err != nil {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	if limit, err := strconv.Atoi(c.Query("limit")); err == nil && limit < len(page.Rows) {
		page.Rows = page.Rows[:limit]
		page.More = true
	}
	c.JSON(http.StatusOK, storeAnswer{
		Rows:  toStore(page.Rows),
		More:  page.More,
		Ver:   page.Version,
		NowMs: page.Now.Milliseconds(),
	})
}

func storeFeed(c *gin.Context, table outside.Table) {
	after, err := strconv.ParseInt(c.Query("sinceRev"), 10, 64)
	if err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.ParseInt(c.Query("waitMs"), 10, 64)
	change, err := table.Feed(c.Request.Context(), c.Query("table"), after, time.Duration(wait)*time.Millisecond)
	var gone *outside.HistoryGoneError
	switch {
	case err == nil:
		c.JSON(http.StatusOK, storeAnswer{
			Rows: toStore(change.Rows),
			Ver:  change.Version,
		})
	case errors.As(err, &gone):
		c.Status(http.StatusGone)
	default:
		c.Status(http.StatusServiceUnavailable)
	}
}

func (r storeRow) key() outside.Key {
	return outside.Key{
		Table: r.Table,
		Part:  r.Part,
		Name:  r.Key,
	}
}

func toStore(rows []outside.Row) []storeRow {
	list := make([]storeRow, 0, len(rows))
	for _, row := range rows {
		list = append(list, storeRow{
			Table: row.Key.Table,
			Part:  row.Key.Part,
			Key:   row.Key.Name,
			Value: row.Value,
			Ver:   row.Version,
			Gone:  row.Gone,
		})
	}
	return list
}
