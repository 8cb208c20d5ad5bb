package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// callTimeout is how long a caller waits: the deadline that it states.
	callTimeout = 3 * time.Second

	// settleTime bounds the wait for the entries to be ready.
	settleTime = 20 * time.Second

	host = "pule25.example"

	// entryCount is how many entries there are.
	entryCount = 3
)

// jobSpec is what a caller hands in, with what its tasks do.
type jobSpec struct {
	id     string
	prefix string
	count  int
	need   room
	length time.Duration
	body   string
}

// job is a job as callers and workers see it.
type job struct {
	jobSpec

	acceptedAt time.Time
	running    int
	done       map[string]bool
	starts     int

	// reported says that the job was found waiting.
	reported bool
}

// lab is the platform, its machines and the callers of one case.
type lab struct {
	dir     string
	record  *record
	trouble bool
	port    int
	entries int

	store    *store
	machines []*machine
	sleeping string
	client   *http.Client
	group    sync.WaitGroup

	mu   sync.Mutex
	jobs map[string]*job

	// behave says how a run of a task ends and after which time; nil lets each run its time.
	behave func(task string, j *job, w *worker) (time.Duration, string)
}

func newLab(dir string, r *record, trouble bool, port int) *lab {
	return &lab{
		dir:     dir,
		record:  r,
		trouble: trouble,
		port:    port,
		store:   newStore(r),
		client: &http.Client{
			Timeout: callTimeout,
		},
		jobs: make(map[string]*job),
	}
}

// addPool adds machines to the pool, four to a rack.
func (l *lab) addPool(count int, size room) error {
	for range count {
		if err := l.addKind("a", size); err != nil {
			return err
		}
	}
	return nil
}

// addKind adds one machine of a kind to the pool.
func (l *lab) addKind(kind string, size room) error {
	number := len(l.machines)
	m := &machine{
		name:  fmt.Sprintf("m-%05x", 0x141e8+number),
		rack:  fmt.Sprintf("r1-%d", number/4),
		kind:  kind,
		size:  size,
		lab:   l,
		pool:  pool,
		waves: make(map[int64]bool),
	}
	if err := m.listen(); err != nil {
		return err
	}
	l.machines = append(l.machines, m)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.enter()
	return nil
}

func (l *lab) asleep(pool string) bool {
	return pool == l.sleeping
}

// open starts the platform, writes the settings of the entries and waits until they are ready.
func (l *lab) open() error {
	mux := http.NewServeMux()
	l.store.routes(mux)
	l.cloudRoutes(mux)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	l.serve(listener, mux)
	l.entries = entryCount
	for i := range l.entries {
		path := filepath.Join(l.dir, fmt.Sprintf("entry-%d.conf", i))
		if err := os.WriteFile(path+".new", []byte(l.settings(i, listener.Addr().String())), 0o600); err != nil {
			return err
		}
		if err := os.Rename(path+".new", path); err != nil {
			return err
		}
	}
	for i := range l.entries {
		if err := l.awaitReady(i); err != nil {
			return err
		}
	}
	l.record.note("%d entries are ready", l.entries)
	return nil
}

func (l *lab) awaitReady(entry int) error {
	address := fmt.Sprintf("http://127.0.0.1:%d/ready", l.port+3*entry+1)
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := l.client.Get(address)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("entry %d is not ready", entry)
}

// settings returns the settings of an entry, with the figures of a small installation.
func (l *lab) settings(entry int, platform string) string {
	first := l.port + 3*entry
	return strings.Join([]string{
		"nodeName=edge-montreal-" + strconv.Itoa(entry+1),
		"role=entry",
		"machineClass=edge",
		"serves=edge",
		"ip=127.0.0.1",
		"zone=montreal",
		"region=qc",
		fmt.Sprintf("listen.front=127.0.0.1:%d", first),
		fmt.Sprintf("listen.ready=127.0.0.1:%d", first+1),
		fmt.Sprintf("portRange=%d,%d", first+2, first+2),
		"bootstrap=true",
		"limits.cpuShare=0.4",
		"limits.cores=1",
		"limits.memoryMb=284",
		"limits.maxFds=4100",
		"limits.linkMbps=1000.0",
		"discovery=platform",
		"heartbeatMs=1500",
		"orders=call",
		"bounds.contactMs=3000",
		"bounds.ackMs=4000",
		"bounds.drainMs=2000",
		"bounds.graceS=6",
		"bounds.configApplyMs=2000",
		"bounds.maxHoldMs=10000",
		"bounds.stop_ms=400",
		"bounds.gang_ms=3000",
		"bounds.cancel_ms=3000",
		"bounds.visible_ms=3000",
		"bounds.early_ms=250",
		"bounds.finish_s=14",
		"bounds.status_s=120",
		"bounds.notice_ms=4500",
		"bounds.move_s=1.5",
		"bounds.upkeep_s=2",
		"bounds.leaseMs=3000",
		"platform.address=" + platform,
		"platform.form=table",
		"platform.writes_per_s=800",
		"platform.reads_per_s=2000",
		"platform.tx_ms=5.0",
		"platform.part_writes_per_s=200",
		"platform.row_bytes=" + strconv.Itoa(rowBytes),
		"platform.across=false",
		"platform.historyS=20",
		"cloudApi.address=" + platform,
		"cloudApi.ratePerS=64.0",
		"cloudApi.dutyPerS=64.0",
		"",
	}, "\n")
}

func (l *lab) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Minute,
	}
	l.group.Go(func() { _ = server.Serve(listener) })
}

// taskOf returns the need of a task, and how long its run takes and how it ends.
func (l *lab) taskOf(task string, w *worker) (room, time.Duration, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	j := l.jobs[id]
	if j == nil {
		return room{}, time.Second, "done"
	}
	if l.behave != nil {
		length, how := l.behave(task, j, w)
		return j.need, length, how
	}
	return j.need, j.length, "done"
}

func (l *lab) started(w *worker, task string, number int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	j := l.jobs[id]
	if j == nil {
		l.record.note("%s: start of %s run %d, which nobody handed in", w.id, task, number)
		return
	}
	j.running++
	j.starts++
	if j.count <= 16 {
		l.record.note("%s: start of %s run %d", w.id, task, number)
	}
}

func (l *lab) ended(w *worker, task string, number int64, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	j := l.jobs[id]
	if j == nil {
		return
	}
	j.running--
	if how == "done" {
		j.done[task] = true
	}
	if j.count <= 16 {
		l.record.note("%s: end of %s run %d: %s", w.id, task, number, how)
	}
}

// handIn hands a job in until it is accepted, at entry after entry, and reports whether it was.
func (l *lab) handIn(s jobSpec, tries int) bool {
	l.mu.Lock()
	l.jobs[s.id] = &job{
		jobSpec: s,
		done:    make(map[string]bool),
	}
	l.mu.Unlock()
	for try := range tries {
		status, text := l.call(http.MethodPost, try, s.prefix+s.id, s.body)
		l.record.note("POST %s at entry %d: %d %s", s.id, try%l.entries, status, text)
		if status == http.StatusOK {
			l.mu.Lock()
			l.jobs[s.id].acceptedAt = time.Now()
			l.mu.Unlock()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// call sends a request to an entry; status 0 means no answer.
func (l *lab) call(method string, entry int, path, body string) (int, string) {
	address := fmt.Sprintf("http://127.0.0.1:%d%s", l.port+3*(entry%l.entries), path)
	request, err := http.NewRequest(method, address, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	response, err := l.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(text))
}

// used returns what runs in the pool, and what its workers have.
func (l *lab) used() (used, size room) {
	for _, m := range l.machines {
		m.mu.Lock()
		w, mine := m.worker, m.pool == pool
		m.mu.Unlock()
		if !mine || w == nil {
			continue
		}
		load := w.load()
		used.CPU += load.CPU
		used.MemMB += load.MemMB
		size.CPU += m.size.CPU
		size.MemMB += m.size.MemMB
	}
	return used, size
}
