package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store as the users' pages give them for the small installations.
const (
	rowBytes    = 65_536
	txBytes     = 1_000_000
	txEntries   = 100
	pageRows    = 500
	maxFeedWait = 30 * time.Second
	txTime      = 5 * time.Millisecond
)

// row is a row of the store on the wire.
type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"tlsKey"`
	Value []byte `json:"value,omitempty"`
	Ver   int64  `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

type rowKey struct {
	table string
	part  string
	key   string
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

// store is the platform's metadata store. Its history is kept whole.
type store struct {
	record *record
	began  time.Time

	// away decides whether a call is answered with 503; nil answers all.
	away func(r *http.Request) bool

	// lose decides whether the answer of a transaction is lost, and how much later it is applied; nil
	// loses none.
	lose func() (time.Duration, bool)

	mu      sync.Mutex
	ver     int64
	rows    map[rowKey]row
	history []row
	changed chan struct{}

	// refused counts the transactions with a row over rowBytes.
	refused int
}

func newStore(r *record) *store {
	return &store{
		record:  r,
		began:   time.Now(),
		rows:    make(map[rowKey]row),
		changed: make(chan struct{}),
	}
}

func (r row) at() rowKey {
	return rowKey{
		table: r.Table,
		part:  r.Part,
		key:   r.Key,
	}
}

// write writes a row as the operator or a worker does; a nil value removes it.
func (s *store) write(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.put(row{
		Table: table,
		Key:   key,
		Value: value,
		Gone:  value == nil,
	})
	s.wake()
}

func (s *store) put(r row) {
	r.Ver = s.ver
	if r.Gone {
		delete(s.rows, r.at())
	} else {
		s.rows[r.at()] = r
	}
	s.history = append(s.history, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) routes(mux *http.ServeMux) {
	mux.HandleFunc("POST /rows-tx", s.serve(s.transact))
	mux.HandleFunc("GET /rows-get", s.serve(s.get))
	mux.HandleFunc("GET /rows-parts", s.serve(s.parts))
	mux.HandleFunc("GET /rows-feed", s.serve(s.feed))
}

// serve answers a call unless the store is away for it.
func (s *store) serve(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.away != nil && s.away(r) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handle(w, r)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(txTime)
	if reason := tx.fault(); reason != "" {
		s.mu.Lock()
		s.refused++
		first := s.refused <= 5 || s.refused%100 == 0
		s.mu.Unlock()
		if first {
			s.record.note("store: transaction refused with 400: %s", reason)
		}
		http.Error(w, reason, http.StatusBadRequest)
		return
	}
	if s.lose != nil {
		if after, lost := s.lose(); lost {
			time.AfterFunc(after, func() { s.apply(tx) })
			// The connection says nothing more.
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	status, body := s.apply(tx)
	answer(w, status, body)
}

// apply applies a transaction, or tells which of its conditions do not hold.
func (s *store) apply(tx transaction) (int, rowsAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stand []row
	conflict := false
	for _, check := range tx.ExpectedRev {
		known := s.rows[check.at()]
		if known.Ver != check.Ver {
			conflict = true
		}
		if known.Ver != 0 {
			stand = append(stand, known)
		}
	}
	if conflict {
		return http.StatusPreconditionFailed, rowsAnswer{
			Rows: stand,
		}
	}
	s.ver++
	for _, r := range tx.Remove {
		r.Value = nil
		r.Gone = true
		s.put(r)
	}
	for _, r := range tx.Put {
		s.put(r)
	}
	s.wake()
	return http.StatusOK, s.page(nil, false)
}

// fault returns why the store takes no such transaction; empty if it does.
func (tx transaction) fault() string {
	parts := make(map[string]bool)
	size := 0
	for _, list := range [][]row{tx.ExpectedRev, tx.Put, tx.Remove} {
		for _, r := range list {
			parts[r.Part] = true
			size += len(r.Value)
		}
	}
	for _, r := range tx.Put {
		if len(r.Value) > rowBytes {
			return "row " + r.Table + "/" + r.Key + " has " + strconv.Itoa(len(r.Value)) + " bytes, at most " + strconv.Itoa(rowBytes)
		}
	}
	switch {
	case len(parts) > 1:
		return "more than one part"
	case len(tx.ExpectedRev)+len(tx.Put)+len(tx.Remove) > txEntries:
		return "more than 100 entries"
	case size > txBytes:
		return "more than 1 MB"
	default:
		return ""
	}
}

func (s *store) page(rows []row, more bool) rowsAnswer {
	return rowsAnswer{
		Rows:  rows,
		More:  more,
		Ver:   s.ver,
		NowMs: time.Since(s.began).Milliseconds(),
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if asked, err := strconv.Atoi(q.Get("limit")); err == nil && asked > 0 && asked < limit {
		limit = asked
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]row, 0)
	for key, known := range s.rows {
		before := q.Get("targetVersion")
		if key.table == q.Get("table") && key.part == q.Get("part") && key.key >= q.Get("rangeStart") && (before == "" || key.key < before) {
			list = append(list, known)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	size := 0
	for i := range list {
		size += len(list[i].Value)
		if i == limit || size > txBytes {
			answer(w, http.StatusOK, s.page(list[:i], true))
			return
		}
	}
	answer(w, http.StatusOK, s.page(list, false))
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make(map[string]bool)
	for key := range s.rows {
		if key.table == q.Get("table") && key.part > q.Get("sinceRev") {
			found[key.part] = true
		}
	}
	list := make([]string, 0, len(found))
	for part := range found {
		list = append(list, part)
	}
	sort.Strings(list)
	answer(w, http.StatusOK, map[string]any{
		"parts": list,
		"ver":   s.ver,
	})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("sinceRev"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timer := time.NewTimer(min(maxFeedWait, time.Duration(wait)*time.Millisecond))
	defer timer.Stop()
	for {
		page, changed := s.since(q.Get("table"), after)
		if len(page.Rows) > 0 {
			answer(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			page, _ = s.since(q.Get("table"), after)
			answer(w, http.StatusOK, page)
			return
		}
	}
}

// since returns the changes of a table after a version, and what is closed with the next change.
func (s *store) since(table string, after int64) (rowsAnswer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
	rows := make([]row, 0)
	for _, r := range s.history[first:] {
		if r.Table == table {
			rows = append(rows, r)
		}
	}
	return s.page(rows, false), s.changed
}

// answer writes an answer in JSON.
func answer(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone needs no answer.
	_, _ = w.Write(body)
}
