package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond

	// lapse is when the entry of a silent worker goes: after three heartbeats.
	lapse = 3 * heartbeat

	// darkHold is how long a call to a dark machine is held before its connection ends.
	darkHold = 2 * time.Second

	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

type room struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"memMb"`
	GPUs  int `json:"gpus"`
}

// machine is a machine of a pool. It runs one worker at a time, unless it is in a pool whose machines
// are off.
type machine struct {
	name string
	rack string
	kind string
	size room
	lab  *lab
	addr string

	mu sync.Mutex

	// dark says that nothing answers and nothing is refused either.
	dark   bool
	pool   string
	state  string
	lives  int
	worker *worker

	waves map[int64]bool
}

// listen serves the machine's workers at an address of its own.
func (m *machine) listen() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	m.addr = listener.Addr().String()
	m.lab.serve(listener, http.HandlerFunc(m.serve))
	return nil
}

func (m *machine) serve(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	current, dark := m.worker, m.dark
	m.mu.Unlock()
	if dark {
		// The call is lost; its sender learns of that by its own limit only.
		time.Sleep(darkHold)
	}
	if current == nil {
		panic(http.ErrAbortHandler)
	}
	current.serve(w, r)
}

// enter lets a new worker enter the machine's pool. The caller holds mu.
func (m *machine) enter() {
	m.state = "up"
	if m.lab.asleep(m.pool) {
		return
	}
	m.lives++
	w := newWorker(fmt.Sprintf("i-%s-%08x", m.name, m.lives), m, m.lab)
	m.worker = w
	m.lab.group.Go(w.live)
	m.lab.group.Go(func() { m.beat(w, m.pool) })
}

// beat writes the worker's entry until the worker is gone, and removes it then.
func (m *machine) beat(w *worker, pool string) {
	for seq := 1; ; seq++ {
		w.mu.Lock()
		dead := w.dead
		w.mu.Unlock()
		if dead {
			return
		}
		m.lab.store.write("servers", w.id, m.entry(w, pool, seq))
		time.Sleep(heartbeat)
	}
}

func (m *machine) entry(w *worker, pool string, seq int) []byte {
	body, err := json.Marshal(map[string]any{
		"service":    pool,
		"address":    m.addr,
		"zone":       "montreal",
		"version":    "v1",
		"slots":      8,
		"state":      "ready",
		"coldLeftMs": 0,
		"capacity":   m.size,
		"labels":     []string{m.kind, m.rack},
		"clockMs":    w.clock(),
		"callSeq":    seq,
	})
	if err != nil {
		panic(err)
	}
	return body
}

// crash ends the worker without a word; another one enters after the given time. In the meantime the
// machine is dark.
func (m *machine) crash(away time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.worker == nil {
		return
	}
	gone := m.worker
	m.lab.record.note("%s: worker %s crashes, dark for %v", m.name, gone.id, away)
	gone.die()
	m.worker = nil
	m.state = "down"
	m.dark = true
	time.AfterFunc(lapse, func() { m.lab.store.write("servers", gone.id, nil) })
	time.AfterFunc(away, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.dark = false
		m.enter()
		if m.worker != nil {
			m.lab.record.note("%s: worker %s enters", m.name, m.worker.id)
		}
	})
}

// loseForGood ends the worker without a word. The machine does not come back.
func (m *machine) loseForGood() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.worker == nil {
		return
	}
	gone := m.worker
	m.lab.record.note("%s: worker %s of kind %s crashes and is lost for good", m.name, gone.id, m.kind)
	gone.die()
	m.worker = nil
	m.state = "down"
	time.AfterFunc(lapse, func() { m.lab.store.write("servers", gone.id, nil) })
}

// leave ends the worker for an order; the machine is back after the given time. The caller holds mu.
func (m *machine) leave(state string, after time.Duration) {
	if m.worker != nil {
		gone := m.worker
		gone.die()
		m.worker = nil
		m.lab.store.write("servers", gone.id, nil)
	}
	m.state = state
	time.AfterFunc(after, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.enter()
	})
}

func (l *lab) cloudRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /machines", l.listMachines)
	mux.HandleFunc("POST /machine-move", l.orderMachine)
	mux.HandleFunc("POST /machine-upkeep", l.orderMachine)
}

func (l *lab) listMachines(w http.ResponseWriter, _ *http.Request) {
	list := make([]map[string]any, 0, len(l.machines))
	for _, m := range l.machines {
		m.mu.Lock()
		one := map[string]any{
			"machine":  m.name,
			"pool":     m.pool,
			"state":    m.state,
			"zone":     "montreal",
			"labels":   []string{m.kind, m.rack},
			"capacity": m.size,
		}
		if m.worker != nil {
			one["id"] = m.worker.id
		}
		m.mu.Unlock()
		list = append(list, one)
	}
	answer(w, http.StatusOK, map[string]any{
		"machines":  list,
		"nextToken": nil,
	})
}

func (l *lab) orderMachine(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	_, err := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, m := range l.machines {
		if m.name == o.Machine {
			status, body := m.order(o.Pool, o.Wave)
			answer(w, status, body)
			return
		}
	}
	w.WriteHeader(http.StatusBadRequest)
}

// order carries out a move or an upkeep.
func (m *machine) order(pool string, wave int64) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case (wave > 0 && m.waves[wave]) || (wave == 0 && m.pool == pool):
		return http.StatusOK, map[string]any{}
	case m.state != "up":
		return http.StatusConflict, map[string]any{
			"reason": "busy",
		}
	case wave > 0:
		m.waves[wave] = true
		m.lab.record.note("%s: upkeep for wave %d", m.name, wave)
		m.leave("upkeep", upkeepTime)
	default:
		m.lab.record.note("%s: moves from %s to %s", m.name, m.pool, pool)
		m.pool = pool
		m.leave("moving", moveTime)
	}
	return http.StatusOK, map[string]any{}
}
