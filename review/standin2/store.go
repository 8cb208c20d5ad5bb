package main

import (
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"os"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, as its page gives them.
const (
	mostEntries    = 100
	mostBytes      = 1 << 20
	mostPage       = 500
	mostKeyBytes   = 200
	mostFeedWait   = 30 * time.Second
	historyKept    = 20 * time.Second
	missedPings    = 3
	heartbeat      = 1500 * time.Millisecond
	transactionFor = 5 * time.Millisecond
)

const (
	tableOperator = "op"
	tableServers  = "servers"
)

// rowKey names a row of the store.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Name  string `json:"tlsKey"`
}

// row is a row as it goes over the wire.
type row struct {
	rowKey

	Value []byte `json:"value,omitempty"`
	Ver   int64  `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

// transaction is the body of a transaction.
type transaction struct {
	ExpectedRev []row    `json:"expectedRev"`
	Put         []row    `json:"put"`
	Remove      []rowKey `json:"remove"`
}

// change is an entry of the history.
type change struct {
	row

	at time.Time
}

// machine is a machine with its current worker.
type machine struct {
	beat registration
	at   time.Time
}

// store is the platform's store, and its list of machines.
type store struct {
	rowBytes int
	began    time.Time

	mu       sync.Mutex
	rows     map[rowKey]row
	ver      int64
	history  []change
	dropped  int64
	changed  chan struct{}
	machines map[string]machine
	workers  map[string]time.Time
}

func newStore(rowBytes int) *store {
	return &store{
		rowBytes: rowBytes,
		began:    time.Now(),
		rows:     make(map[rowKey]row),
		changed:  make(chan struct{}),
		machines: make(map[string]machine),
		workers:  make(map[string]time.Time),
	}
}

// runStore serves the store, the list of machines and the workers' registrations.
func runStore(args []string) (int, error) {
	flags := flag.NewFlagSet("store", flag.ContinueOnError)
	address := flags.String("address", "", "where to listen")
	config := flags.String("config", "", "file with the first configuration")
	rowBytes := flags.Int("row-bytes", 65536, "most bytes of a row")
	if err := flags.Parse(args); err != nil {
		return codeNotRun, err
	}
	body, err := os.ReadFile(*config)
	if err != nil {
		return codeNotRun, err
	}
	s := newStore(*rowBytes)
	s.write(rowKey{
		Table: tableOperator,
		Name:  "config",
	}, body)
	go s.sweep()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("GET /machines", s.list)
	mux.HandleFunc("POST /machine-move", refuseDuty)
	mux.HandleFunc("POST /machine-upkeep", refuseDuty)
	mux.HandleFunc("POST /standin/beat", s.beat)
	return codeNotRun, http.ListenAndServe(*address, mux)
}

// refuseDuty answers orders to machines: the cases have one pool and no wave.
func refuseDuty(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "no such machine or pool", http.StatusBadRequest)
}

// nowMs is the store's steady clock.
func (s *store) nowMs() float64 {
	return float64(time.Since(s.began)) / float64(time.Millisecond)
}

// write writes a row outside of any transaction; a nil value removes it.
func (s *store) write(key rowKey, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(key, value)
	s.wake()
}

// apply changes a row under the current version.
func (s *store) apply(key rowKey, value []byte) {
	r := row{
		rowKey: key,
		Value:  value,
		Ver:    s.ver,
		Gone:   value == nil,
	}
	if _, found := s.rows[key]; r.Gone && !found {
		return
	}
	if r.Gone {
		delete(s.rows, key)
	} else {
		s.rows[key] = r
	}
	s.history = append(s.history, change{
		row: r,
		at:  time.Now(),
	})
}

// wake tells the feeds that something has changed, and forgets old history.
func (s *store) wake() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyKept {
		s.dropped = s.history[0].Ver
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*mostBytes))
	if err := decoder.Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if reason := s.fault(tx); reason != "" {
		http.Error(w, reason, http.StatusBadRequest)
		return
	}
	time.Sleep(transactionFor)
	s.mu.Lock()
	defer s.mu.Unlock()
	var standing []row
	conflict := false
	for _, check := range tx.ExpectedRev {
		current, found := s.rows[check.rowKey]
		if found {
			standing = append(standing, current)
		}
		conflict = conflict || current.Ver != check.Ver
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, standing, false)
		return
	}
	s.ver++
	for _, put := range tx.Put {
		s.apply(put.rowKey, put.Value)
	}
	for _, key := range tx.Remove {
		s.apply(key, nil)
	}
	s.wake()
	s.answer(w, http.StatusOK, nil, false)
}

// fault returns why a transaction is outside of the store's limits; empty where it is not.
func (s *store) fault(tx transaction) string {
	parts := make(map[string]bool)
	size := 0
	note := func(key rowKey) {
		parts[key.Part] = true
		size += len(key.Table) + len(key.Part) + len(key.Name)
	}
	for _, check := range tx.ExpectedRev {
		note(check.rowKey)
	}
	for _, key := range tx.Remove {
		note(key)
	}
	for _, put := range tx.Put {
		note(put.rowKey)
		size += len(put.Value)
		if len(put.Value) > s.rowBytes {
			return "a value of " + strconv.Itoa(len(put.Value)) + " bytes is larger than row_bytes"
		}
		if len(put.Name) > mostKeyBytes {
			return "a key is too long"
		}
	}
	switch {
	case len(tx.ExpectedRev)+len(tx.Put)+len(tx.Remove) > mostEntries:
		return "too many entries"
	case size > mostBytes:
		return "the transaction is larger than 1 MB"
	case len(parts) > 1:
		return "several parts"
	default:
		return ""
	}
}

// answer writes rows; the caller holds the lock.
func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	body, err := json.Marshal(map[string]any{
		"rows":   rows,
		"more":   more,
		"ver":    s.ver,
		"now_ms": s.nowMs(),
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	reply(w, status, body)
}

// reply writes an answer with a JSON body. A client that has gone gets none.
func reply(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		return
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := mostPage
	if number, err := strconv.Atoi(query.Get("limit")); err == nil && number > 0 && number < limit {
		limit = number
	}
	from, until := query.Get("rangeStart"), query.Get("targetVersion")
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for key, one := range s.rows {
		if key.Table == query.Get("table") && key.Part == query.Get("part") && key.Name >= from && (until == "" || key.Name < until) {
			rows = append(rows, one)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	size, taken := 0, 0
	for taken < len(rows) && taken < limit && (taken == 0 || size+len(rows[taken].Value) <= mostBytes) {
		size += len(rows[taken].Value)
		taken++
	}
	s.answer(w, http.StatusOK, rows[:taken], taken < len(rows))
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := strconv.ParseInt(query.Get("sinceRev"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(query.Get("waitMs"))
	if err != nil {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(mostFeedWait, time.Duration(wait)*time.Millisecond))
	defer cancel()
	for {
		s.mu.Lock()
		if since < s.dropped {
			s.mu.Unlock()
			http.Error(w, "history is gone", http.StatusGone)
			return
		}
		var rows []row
		for _, one := range s.history {
			if one.Table == query.Get("table") && one.Ver > since {
				rows = append(rows, one.row)
			}
		}
		if len(rows) > 0 || ctx.Err() != nil {
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// beat takes a worker's registration.
func (s *store) beat(w http.ResponseWriter, r *http.Request) {
	var beat registration
	if err := json.NewDecoder(r.Body).Decode(&beat); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := json.Marshal(beat.Entry)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.machines[beat.Machine] = machine{
		beat: beat,
		at:   time.Now(),
	}
	s.workers[beat.ID] = time.Now()
	s.mu.Unlock()
	s.write(rowKey{
		Table: tableServers,
		Name:  beat.ID,
	}, value)
}

// sweep removes the registrations of workers that were silent for three pings.
func (s *store) sweep() {
	for range time.Tick(heartbeat / 10) {
		s.mu.Lock()
		var gone []string
		for id, at := range s.workers {
			if time.Since(at) > missedPings*heartbeat {
				gone = append(gone, id)
				delete(s.workers, id)
			}
		}
		s.mu.Unlock()
		for _, id := range gone {
			s.write(rowKey{
				Table: tableServers,
				Name:  id,
			}, nil)
		}
	}
}

// list answers with the machines.
func (s *store) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]map[string]any, 0, len(s.machines))
	for name, one := range s.machines {
		state := "up"
		if time.Since(one.at) > missedPings*heartbeat {
			state = "down"
		}
		list = append(list, map[string]any{
			"machine":  name,
			"pool":     one.beat.Entry.Service,
			"state":    state,
			"zone":     one.beat.Entry.Zone,
			"labels":   one.beat.Entry.Labels,
			"capacity": one.beat.Entry.Capacity,
			"id":       one.beat.ID,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i]["machine"].(string) < list[j]["machine"].(string) })
	body, err := json.Marshal(map[string]any{
		"machines":  list,
		"nextToken": nil,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	reply(w, http.StatusOK, body)
}
