// Package crowd_test runs a real entry process on a small machine against clients that
// do not behave, and checks that it lives, stays within the machine's memory and
// descriptors, and answers an ordinary request afterwards.
package crowd_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/outside"
)

const (
	// patience bounds every wait for a condition.
	patience = 90 * time.Second

	// tryTimeout bounds one try of an ordinary request, and retryPause is the pause before
	// the next one.
	tryTimeout = 3 * time.Second
	retryPause = 50 * time.Millisecond

	// samplePause is the pause between two samples of a process.
	samplePause = 20 * time.Millisecond

	// memoryMB and descriptors are those of the machine of most tests.
	memoryMB    = 96
	descriptors = 4100

	// restShare is the part of the machine's memory below which an entry at rest is.
	restShare = 0.6

	// headerBytes and bodyBytes are the limits of a request.
	headerBytes = 16_384
	bodyBytes   = 262_144

	instances = 4

	configuration = `{"version":1,"routes":[{"name":"q","host":"h.example","pathPrefix":"/q/","timeoutMs":3000,"targetLatencyMs":600,"priority":0,"service":"s","maxAttempts":3,"stretch":1.6}],` +
		`"services":[{"name":"s","rejectsOverload":true},{"name":"z","rejectsOverload":true,"headroom":true}],"limits":{"maxHeaderBytes":%d,"maxBodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

	smallJob = `{"spec":"x","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":120}]}`
)

// machine is what the settings say of the machine of an entry.
type machine struct {
	memoryMB    int
	descriptors int
}

// entry is one entry process on a stand-in platform of its own.
type entry struct {
	machine
	t       *testing.T
	command *exec.Cmd
	log     string

	// callers, readiness and peers are the addresses at which it listens.
	callers   string
	readiness string
	peers     string

	// ended is closed once the process has ended.
	ended chan struct{}

	// The most that a sample has shown.
	peakKB          atomic.Int64
	peakDescriptors atomic.Int64
	peakUnread      atomic.Int64

	// jobs counts the ordinary jobs.
	jobs atomic.Int64

	mu sync.Mutex

	// refused holds the ordinary jobs that were refused, faults the promises that broke.
	refused []string
	faults  []string
}

// binary builds the entry once for all tests. It is built without the race detector, whose
// memory would count.
var binary = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "lemonstream-crowd")
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "lemonsched")
	output, err := exec.Command("go", "build", "-buildvcs=false", "-o", path, "lemonstream.dev/lemonstream/cmd/lemonsched").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return path, nil
})

// ports are those at which entries listen.
var ports = standin.NewPorts(18_000, 2_000, os.Getpid())

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := binary(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// start starts an entry on a machine and waits until it has run a job and is at rest.
func start(t *testing.T, m machine) *entry {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	gin.SetMode(gin.ReleaseMode)
	rows := standin.NewRows()
	rows.Write(outside.Key{
		Table: "op",
		Name:  "config",
	}, fmt.Appendf(nil, configuration, headerBytes, bodyBytes))
	fleet := standin.NewFleet(rows, standin.NewOracle(), "z")
	for i := range instances {
		handler, up := fleet.Add(fmt.Sprintf("m-%d", i), "s")
		up(netip.MustParseAddrPort(serve(t, handler)))
	}
	router := gin.New()
	standin.StoreRoutes(router, rows)
	fleet.Routes(router)
	platform := serve(t, router)
	var free [3]int
	for i := range free {
		address, err := ports.Take()
		is.NoErr(err)
		free[i] = int(address.Port())
	}
	folder := t.TempDir()
	settings := filepath.Join(folder, "settings.conf")
	text := standin.EntrySettings(0, free, platform, platform) + strings.Join([]string{
		"limits.memoryMb=" + strconv.Itoa(m.memoryMB),
		"limits.maxFds=" + strconv.Itoa(m.descriptors),
		"",
	}, "\n")
	is.NoErr(os.WriteFile(settings, []byte(text), 0o600))
	e := &entry{
		machine:   m,
		t:         t,
		log:       filepath.Join(folder, "log"),
		callers:   "127.0.0.1:" + strconv.Itoa(free[0]),
		readiness: "127.0.0.1:" + strconv.Itoa(free[1]),
		peers:     "127.0.0.1:" + strconv.Itoa(free[2]),
		ended:     make(chan struct{}),
	}
	e.run(settings)
	e.until("a ready entry", e.isReady)
	e.ordinary()
	// The crowd has to come on top of an entry at rest.
	rest := e.status("VmHWM")
	t.Logf("at rest: %d kB of %d MB, %d of %d descriptors", rest, m.memoryMB, e.openDescriptors(), m.descriptors)
	is.True(float64(rest) < restShare*float64(m.memoryMB<<10)) // The entry at rest is small.
	return e
}

// serve serves a handler on loopback until the end of the test, and returns its address.
func serve(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// run starts the process and samples it until it ends.
func (e *entry) run(settings string) {
	e.t.Helper()
	is := is.New(e.t)
	path, err := binary()
	is.NoErr(err)
	log, err := os.Create(e.log)
	is.NoErr(err)
	e.command = exec.Command(path)
	e.command.Env = append(os.Environ(), "LEMONSTREAM_SETTINGS="+settings)
	e.command.Stdout = log
	e.command.Stderr = log
	is.NoErr(e.command.Start())
	_ = log.Close()
	var running errgroup.Group
	running.Go(func() error {
		defer close(e.ended)
		return e.command.Wait()
	})
	running.Go(func() error {
		for e.lives() {
			e.sample()
			time.Sleep(samplePause)
		}
		return nil
	})
	e.t.Cleanup(func() {
		_ = e.command.Process.Kill()
		// Its error is that of the kill.
		_ = running.Wait()
		if e.t.Failed() {
			e.keepLog()
		}
	})
}

// lives reports whether the process has not ended.
func (e *entry) lives() bool {
	select {
	case <-e.ended:
		return false
	default:
		return true
	}
}

// sample notes what the process holds at this moment.
func (e *entry) sample() {
	raise(&e.peakKB, e.status("VmHWM"))
	raise(&e.peakDescriptors, int64(e.openDescriptors()))
	raise(&e.peakUnread, e.unread())
}

func raise(most *atomic.Int64, value int64) {
	if value > most.Load() {
		most.Store(value)
	}
}

// status returns a line of the process's status in kB; 0 once it has ended.
func (e *entry) status(name string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != name+":" {
			continue
		}
		value, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil {
			return 0
		}
		return value
	}
	return 0
}

// openDescriptors returns how many descriptors the process has open; 0 once it has ended.
func (e *entry) openDescriptors() int {
	folder, err := os.Open(fmt.Sprintf("/proc/%d/fd", e.command.Process.Pid))
	if err != nil {
		return 0
	}
	defer func() { _ = folder.Close() }()
	names, err := folder.Readdirnames(-1)
	if err != nil {
		return 0
	}
	return len(names)
}

// unread returns the bytes that have arrived at the listeners' connections and were not read.
func (e *entry) unread() int64 {
	table, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", e.command.Process.Pid))
	if err != nil {
		return 0
	}
	var local [][]byte
	for _, address := range []string{e.callers, e.readiness, e.peers} {
		local = append(local, fmt.Appendf(nil, ":%04X", netip.MustParseAddrPort(address).Port()))
	}
	const established = "01"
	var total int64
	for line := range bytes.Lines(table) {
		fields := bytes.Fields(line)
		if len(fields) < 5 || string(fields[3]) != established {
			continue
		}
		for _, port := range local {
			if !bytes.HasSuffix(fields[1], port) {
				continue
			}
			_, received, _ := bytes.Cut(fields[4], []byte(":"))
			waiting, err := strconv.ParseInt(string(received), 16, 64)
			if err == nil {
				total += waiting
			}
		}
	}
	return total
}

// check fails the test unless the process lives within its machine.
func (e *entry) check() {
	e.t.Helper()
	is := is.New(e.t)
	e.checkRefused()
	e.sample()
	e.t.Logf("most memory: %d kB of %d MB; most descriptors: %d of %d; most unread: %d kB", e.peakKB.Load(), e.memoryMB, e.peakDescriptors.Load(), e.descriptors, e.peakUnread.Load()>>10)
	for _, fault := range e.faults {
		e.t.Log(fault)
	}
	is.True(e.lives())                                        // The process has not ended.
	is.True(e.peakKB.Load() <= int64(e.memoryMB)<<10)         // The memory of the machine holds.
	is.True(e.peakDescriptors.Load() <= int64(e.descriptors)) // Its descriptors suffice.
	is.Equal(len(e.faults), 0)                                // Each answer to an ordinary caller held.
}

// ordinary hands a job in and asks for its state, until both are answered.
func (e *entry) ordinary() {
	e.t.Helper()
	e.until("an ordinary request", e.ordinaryOnce())
}

// ordinaryOnce returns a condition that holds once a job was accepted and its state was shown.
// A job that was refused is handed in again under another ID, one without a certain answer
// under its own.
func (e *entry) ordinaryOnce() func() bool {
	path := e.newJob()
	accepted := false
	return func() bool {
		if !accepted {
			status := e.try(http.MethodPost, e.callers, path, smallJob, nil)
			accepted = status/100 == 2
			if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
				e.mu.Lock()
				e.refused = append(e.refused, path)
				e.mu.Unlock()
				path = e.newJob()
			}
		}
		if !accepted {
			return false
		}
		status := e.state(path)
		if status == http.StatusGone {
			e.fault("an accepted job is gone: " + path)
		}
		return status == http.StatusOK
	}
}

func (e *entry) newJob() string {
	return fmt.Sprintf("/q/%016x", 0xb0<<32|e.jobs.Add(1))
}

// state asks for the state of a job; 200 says that one was shown.
func (e *entry) state(path string) int {
	var shown struct {
		State string `json:"state"`
	}
	status := e.try(http.MethodGet, e.callers, path, "", &shown)
	if status == http.StatusOK && shown.State == "" {
		return 0
	}
	return status
}

func (e *entry) fault(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = append(e.faults, text)
}

// checkRefused notes each job that was refused and is known all the same.
func (e *entry) checkRefused() {
	e.t.Helper()
	for _, path := range e.refused {
		e.until("the state of a refused job", func() bool {
			status := e.state(path)
			if status == http.StatusOK {
				e.fault("a refused job is known: " + path)
			}
			return status == http.StatusOK || status == http.StatusGone
		})
	}
}

// isReady reports whether the entry calls itself ready.
func (e *entry) isReady() bool {
	return e.try(http.MethodGet, e.readiness, "/ready", "", nil) == http.StatusOK
}

// try sends one request over a connection of its own; status 0 means no answer.
func (e *entry) try(method, address, path, body string, into any) int {
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
		Timeout: tryTimeout,
	}
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = "h.example"
	request.Header.Set("Deadline-Ms", "2500")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	if into != nil && response.StatusCode == http.StatusOK && json.Unmarshal(answer, into) != nil {
		return 0
	}
	return response.StatusCode
}

// until waits for a condition of a process that lives.
func (e *entry) until(what string, condition func() bool) {
	e.t.Helper()
	if err := e.await(what, condition); err != nil {
		e.sample()
		e.t.Fatalf("%v; most memory: %d kB", err, e.peakKB.Load())
	}
}

// await is until for goroutines beside that of the test.
func (e *entry) await(what string, condition func() bool) error {
	for begin := time.Now(); time.Since(begin) < patience; time.Sleep(retryPause) {
		if !e.lives() {
			return errors.New("the process ended before " + what)
		}
		if condition() {
			return nil
		}
	}
	return errors.New("gave up waiting for " + what)
}

// keepLog prints the end of the log of a failed test, and writes the whole of it into the
// folder that CROWD_LOGS names.
func (e *entry) keepLog() {
	log, err := os.ReadFile(e.log)
	if err != nil {
		e.t.Logf("log: %v", err)
		return
	}
	if folder := os.Getenv("CROWD_LOGS"); folder != "" {
		if err := os.WriteFile(filepath.Join(folder, e.t.Name()+".log"), log, 0o600); err != nil {
			e.t.Logf("keeping the log: %v", err)
		}
	}
	e.t.Logf("log:\n%s", log[max(0, len(log)-2_000):])
}
