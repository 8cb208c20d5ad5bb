package main

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// doors is how many further addresses the store has, one for each machine that a case may turn away.
const doors = 8

// door is one address of the store, which may be silent while the others answer.
type door struct {
	store *rowStore
	inner http.Handler

	mu    sync.Mutex
	until time.Time
	late  time.Duration
}

// openDoor serves the store at one more address, which it writes to a file.
func openDoor(store *rowStore, path string) *door {
	mux := http.NewServeMux()
	store.routes(mux)
	d := &door{
		store: store,
		inner: mux,
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail(err.Error())
	}
	if err := os.WriteFile(path, []byte(listener.Addr().String()), 0o600); err != nil {
		fail(err.Error())
	}
	server := &http.Server{
		Handler:           d,
		ReadHeaderTimeout: time.Minute,
	}
	go func() { fail(server.Serve(listener).Error()) }()
	return d
}

// close makes the store silent at the door for some time. What is to be written meanwhile is done
// after the given delay, if its conditions still hold then.
func (d *door) close(silent, late time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.until = time.Now().Add(silent)
	d.late = late
}

// ServeHTTP implements http.Handler.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	silent := time.Now().Before(d.until)
	late := d.late
	d.mu.Unlock()
	if !silent {
		d.inner.ServeHTTP(w, r)
		return
	}
	var tx transaction
	if r.URL.Path == "/rows-tx" && json.NewDecoder(r.Body).Decode(&tx) == nil {
		time.AfterFunc(late, func() { d.store.applyLate(tx) })
	}
	// The connection says nothing more.
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// applyLate carries out a transaction that got no answer, if its conditions hold.
func (s *rowStore) applyLate(tx transaction) {
	if !s.isWithinLimits(tx) {
		return
	}
	_, conflict := s.apply(tx)
	for _, put := range tx.Put {
		s.record.note("store late write of %s/%s/%s done: %t", put.Table, put.Part, put.Name, conflict == nil)
	}
}
