package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// rowKey names a row of the store.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Name  string `json:"tlsKey"`
}

// row is a row on the wire.
type row struct {
	rowKey
	Value []byte `json:"value,omitempty"`
	Ver   int64  `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

type transaction struct {
	ExpectedRev []row `json:"expectedRev"`
	Put         []row `json:"put"`
	Remove      []row `json:"remove"`
}

type rowsAnswer struct {
	Rows  []row `json:"rows"`
	More  bool  `json:"more"`
	Ver   int64 `json:"ver"`
	NowMs int64 `json:"now_ms"`
}

const (
	// maxRows is the most rows of one answer to a read.
	maxRows = 500

	// maxRowBytes is the most bytes of a row, maxEntries and maxBytes the most of a transaction.
	maxRowBytes = 65536
	maxEntries  = 100
	maxBytes    = 1 << 20
)

// rowStore is the platform's store: rows, one version a transaction, and the history of changes.
type rowStore struct {
	began  time.Time
	record *recorder

	mu      sync.Mutex
	version int64
	rows    map[rowKey]row
	history []row
	changed chan struct{}
}

func newStore(record *recorder) *rowStore {
	return &rowStore{
		began:   time.Now(),
		record:  record,
		rows:    make(map[rowKey]row),
		changed: make(chan struct{}),
	}
}

func (s *rowStore) routes(mux *http.ServeMux) {
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("GET /rows-parts", s.parts)
}

// answer sends a body as JSON.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *rowStore) nowMs() int64 {
	return time.Since(s.began).Milliseconds()
}

func (s *rowStore) transact(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, change := range slices.Concat(tx.Put, tx.Remove) {
		if change.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if !s.isWithinLimits(tx) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	version, conflict := s.apply(tx)
	if conflict != nil {
		answer(w, http.StatusPreconditionFailed, rowsAnswer{
			Rows:  conflict,
			Ver:   version,
			NowMs: s.nowMs(),
		})
		return
	}
	answer(w, http.StatusOK, rowsAnswer{
		Ver:   version,
		NowMs: s.nowMs(),
	})
}

// isWithinLimits reports whether a transaction keeps the limits that the pages set.
func (s *rowStore) isWithinLimits(tx transaction) bool {
	size := 0
	for _, put := range tx.Put {
		size += len(put.Value)
		if len(put.Value) > maxRowBytes {
			s.record.note("store refuses a row of %d bytes: %s/%s/%s", len(put.Value), put.Table, put.Part, put.Name)
			return false
		}
	}
	entries := len(tx.ExpectedRev) + len(tx.Put) + len(tx.Remove)
	if entries > maxEntries || size > maxBytes {
		s.record.note("store refuses a transaction of %d entries and %d bytes", entries, size)
		return false
	}
	return true
}

// apply carries out a transaction, or returns the rows of its conditions as they stand.
func (s *rowStore) apply(tx transaction) (int64, []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standing := make([]row, 0, len(tx.ExpectedRev))
	held := true
	for _, check := range tx.ExpectedRev {
		current, found := s.rows[check.rowKey]
		if found {
			standing = append(standing, current)
		}
		held = held && current.Ver == check.Ver
	}
	if !held {
		return s.version, standing
	}
	s.version++
	for _, put := range tx.Put {
		s.recordChange(row{
			rowKey: put.rowKey,
			Value:  put.Value,
			Ver:    s.version,
		})
	}
	for _, remove := range tx.Remove {
		if _, found := s.rows[remove.rowKey]; found {
			s.recordChange(row{
				rowKey: remove.rowKey,
				Ver:    s.version,
				Gone:   true,
			})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil
}

// recordChange puts one changed row into the rows and the history.
func (s *rowStore) recordChange(changed row) {
	if changed.Gone {
		delete(s.rows, changed.rowKey)
	} else {
		s.rows[changed.rowKey] = changed
	}
	s.history = append(s.history, changed)
}

// write writes a row on behalf of the operator or of a worker; an empty value removes it.
func (s *rowStore) write(table, name string, value []byte) {
	key := rowKey{
		Table: table,
		Name:  name,
	}
	change := []row{{
		rowKey: key,
		Value:  value,
	}}
	if len(value) == 0 {
		s.apply(transaction{
			Remove: change,
		})
		return
	}
	s.apply(transaction{
		Put: change,
	})
}

func (s *rowStore) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make([]row, 0)
	for key, found := range s.rows {
		end := query.Get("targetVersion")
		if key.Table == query.Get("table") && key.Part == query.Get("part") && key.Name >= query.Get("rangeStart") && (end == "" || key.Name < end) {
			rows = append(rows, found)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Name, b.Name) })
	limit := maxRows
	if asked, err := strconv.Atoi(query.Get("limit")); err == nil && asked > 0 {
		limit = min(limit, asked)
	}
	more := len(rows) > limit
	answer(w, http.StatusOK, rowsAnswer{
		Rows:  rows[:min(limit, len(rows))],
		More:  more,
		Ver:   s.version,
		NowMs: s.nowMs(),
	})
}

func (s *rowStore) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := make([]string, 0)
	for key := range s.rows {
		if key.Table == r.URL.Query().Get("table") && !slices.Contains(parts, key.Part) {
			parts = append(parts, key.Part)
		}
	}
	slices.Sort(parts)
	answer(w, http.StatusOK, map[string]any{
		"parts": parts,
		"more":  false,
	})
}

func (s *rowStore) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("sinceRev"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		body, changed := s.since(query.Get("table"), after)
		if len(body.Rows) > 0 {
			answer(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			answer(w, http.StatusOK, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes of a table after a version, and what is closed with the next change.
func (s *rowStore) since(table string, after int64) (rowsAnswer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body := rowsAnswer{
		Rows:  make([]row, 0),
		Ver:   s.version,
		NowMs: s.nowMs(),
	}
	for _, changed := range s.history {
		if changed.Table == table && changed.Ver > after {
			body.Rows = append(body.Rows, changed)
		}
	}
	return body, s.changed
}
