package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

const (
	// beatTime is how often a worker writes its registration; it is removed after lapseTime of silence.
	beatTime  = 1500 * time.Millisecond
	lapseTime = 3 * beatTime

	// moveTime is how long a machine is away after an order.
	moveTime = 1500 * time.Millisecond
)

// machine is one machine of the platform, with the life of its worker that beat last.
type machine struct {
	Name string
	Pool string

	worker  string
	address string
	beatAt  time.Time

	// awayUntil is when an ordered machine is back, state what it does until then.
	awayUntil time.Time
	state     string
	waves     map[int64]bool
}

// beat is what a worker tells the platform of itself.
type beat struct {
	Machine string          `json:"machine"`
	Worker  string          `json:"worker"`
	Address string          `json:"address"`
	Pool    string          `json:"pool"`
	Row     json.RawMessage `json:"row"`
}

// platform is the store, the machines' interface, and the operator's hand.
type platform struct {
	store  *rowStore
	record *recorder

	// doors are further addresses of the store.
	doors []*door

	mu       sync.Mutex
	machines map[string]*machine
	order    []string
}

// servePlatform serves the platform, and writes its address to a file in dir.
func servePlatform(dir string) {
	record := newRecorder(filepath.Join(dir, "record.txt"))
	p := &platform{
		store:    newStore(record),
		record:   record,
		machines: make(map[string]*machine),
	}
	mux := http.NewServeMux()
	p.store.routes(mux)
	mux.HandleFunc("GET /machines", p.list)
	mux.HandleFunc("POST /machine-move", p.carryOut)
	mux.HandleFunc("POST /machine-upkeep", p.carryOut)
	mux.HandleFunc("POST /stand/beat", p.takeBeat)
	mux.HandleFunc("POST /stand/silence/{door}", p.silence)
	mux.HandleFunc("POST /stand/op/{name}", p.operate)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail(err.Error())
	}
	go p.lapse()
	path := filepath.Join(dir, "platform")
	if err := os.WriteFile(path+".new", []byte(listener.Addr().String()), 0o600); err != nil {
		fail(err.Error())
	}
	if err := os.Rename(path+".new", path); err != nil {
		fail(err.Error())
	}
	for n := range doors {
		p.doors = append(p.doors, openDoor(p.store, filepath.Join(dir, fmt.Sprintf("door-%d", n))))
	}
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
	}
	fail(server.Serve(listener).Error())
}

// silence lets the store say nothing to the machines behind a door for some time, in milliseconds;
// what they ask it to write meanwhile is done late.
func (p *platform) silence(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.PathValue("door"))
	if err != nil || n < 0 || n >= len(p.doors) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get("ms"))
	late, _ := strconv.Atoi(r.URL.Query().Get("late_ms"))
	p.doors[n].close(time.Duration(ms)*time.Millisecond, time.Duration(late)*time.Millisecond)
	p.record.note("platform the store is silent behind door %d for %d ms, writes are done %d ms late", n, ms, late)
}

// operate writes a row of the operator. The answer is the acknowledgement.
func (p *platform) operate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.store.write("op", r.PathValue("name"), bytes.TrimSpace(body))
	p.record.note("operator op/%s %s", r.PathValue("name"), bytes.TrimSpace(body))
}

// takeBeat takes the registration of a worker, and tells it whether its machine was ordered away.
func (p *platform) takeBeat(w http.ResponseWriter, r *http.Request) {
	var b beat
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	m, found := p.machines[b.Machine]
	if !found {
		m = &machine{
			Name:  b.Machine,
			Pool:  b.Pool,
			state: "up",
			waves: make(map[int64]bool),
		}
		p.machines[b.Machine] = m
		p.order = append(p.order, b.Machine)
	}
	if time.Now().Before(m.awayUntil) || m.Pool != b.Pool {
		p.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	gone := ""
	if m.worker != "" && m.worker != b.Worker {
		gone = m.worker
	}
	m.worker = b.Worker
	m.address = b.Address
	m.beatAt = time.Now()
	m.state = "up"
	p.mu.Unlock()
	if gone != "" {
		p.store.write("servers", gone, nil)
	}
	p.store.write("servers", b.Worker, b.Row)
}

// lapse removes the registrations of workers that are silent.
func (p *platform) lapse() {
	for range time.Tick(100 * time.Millisecond) {
		p.mu.Lock()
		for _, m := range p.machines {
			if m.worker != "" && time.Since(m.beatAt) > lapseTime {
				p.store.write("servers", m.worker, nil)
				p.record.note("platform registration of %s is gone", m.worker)
				m.worker = ""
				m.state = "down"
			}
		}
		p.mu.Unlock()
	}
}

func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]map[string]any, 0, len(p.order))
	for _, name := range p.order {
		m := p.machines[name]
		row := map[string]any{
			"machine":  m.Name,
			"pool":     m.Pool,
			"state":    m.state,
			"zone":     "z1",
			"labels":   workerLabels,
			"capacity": workerCapacity,
		}
		if m.worker != "" {
			row["id"] = m.worker
		}
		list = append(list, row)
	}
	answer(w, http.StatusOK, map[string]any{
		"machines":  list,
		"nextToken": nil,
	})
}

type machineOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
}

// carryOut moves a machine or begins its upkeep: what runs there dies at once.
func (p *platform) carryOut(w http.ResponseWriter, r *http.Request) {
	var order machineOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m, found := p.machines[order.Machine]
	if !found {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if (order.Wave > 0 && m.waves[order.Wave]) || (order.Wave == 0 && m.Pool == order.Pool) {
		answer(w, http.StatusOK, map[string]any{})
		return
	}
	if m.state != "up" || m.worker == "" {
		answer(w, http.StatusConflict, map[string]any{
			"reason": "busy",
		})
		return
	}
	p.record.note("platform %s %s by %s token %s", r.URL.Path, order.Machine, r.Header.Get("Lease-Holder"), r.Header.Get("Fencing-Token"))
	m.state = "moving"
	if order.Wave > 0 {
		m.state = "upkeep"
		m.waves[order.Wave] = true
	} else {
		m.Pool = order.Pool
	}
	m.awayUntil = time.Now().Add(moveTime)
	p.store.write("servers", m.worker, nil)
	endLife(m.address, m.Pool)
	m.worker = ""
	answer(w, http.StatusOK, map[string]any{})
}

// endLife ends the life of a worker, whose next one begins in a pool after the move.
func endLife(address, pool string) {
	response, err := http.Post(fmt.Sprintf("http://%s/stand/end?pool=%s&ms=%d", address, pool, moveTime.Milliseconds()), "text/plain", http.NoBody)
	if err == nil {
		_ = response.Body.Close()
	}
}
