// Package soak_test runs real entry processes against a stand-in of the users'
// platform, breaks them from outside, and checks the promises from what callers
// and workers see.
package soak_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/outside"
)

const (
	// patience is a generous limit for what takes seconds on an idle machine.
	patience = 90 * time.Second

	// entries is how many there are unless SOAK_ENTRIES says otherwise.
	entries   = 3
	instances = 6

	// waveAtOnce is how many instances may be down at one time.
	waveAtOnce = 2

	configuration = `{"version":%d,"routes":[{"name":"q","host":"h.example","pathPrefix":"/q/","timeoutMs":3000,"targetLatencyMs":600,"priority":0,"service":"s","maxAttempts":3,"stretch":1.6}],` +
		`"services":[{"name":"s","rejectsOverload":true},{"name":"z","rejectsOverload":true,"headroom":true}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
)

// ports are those at which entries listen.
var ports = standin.NewPorts(30_000, 2_700, os.Getpid())

// plan is what a deployment consists of. Instances run workers of the services in turn.
type plan struct {
	entries   int
	instances int
	services  []string

	// configuration is that of a version.
	configuration func(version int) string
}

// deployment is a stand-in platform with entry processes on it.
type deployment struct {
	plan

	t       *testing.T
	rows    *standin.Rows
	oracle  *standin.Oracle
	store   http.Handler
	faulty  *faultyStore
	fleet   *standin.Fleet
	group   *kernel.Group
	binary  string
	entries []*entry

	// platform is where the instances' interface answers.
	platform string

	// links lead to the entries, to the workers, and from each entry to the store.
	links []*link

	// version is that of the configuration; mending are the ends of faults that
	// are still in force.
	version int
	mending []mend
}

// mend is the end of a fault.
type mend struct {
	at time.Time
	do func()
}

// entry is one entry process, started again whenever it ends.
type entry struct {
	settings string
	front    string
	ready    string
	output   *os.File
	command  *exec.Cmd

	// link leads to the store, which may break the entry's transactions.
	link   *link
	writes *entryStore
}

// deploy starts the plan of most tests: one service has work.
func deploy(t *testing.T) *deployment {
	t.Helper()
	return deployPlan(t, plan{
		entries:       entries,
		instances:     instances,
		services:      []string{"s"},
		configuration: func(version int) string { return fmt.Sprintf(configuration, version) },
	})
}

func deployPlan(t *testing.T, p plan) *deployment {
	t.Helper()
	gin.SetMode(gin.ReleaseMode)
	d := &deployment{
		plan:    p,
		t:       t,
		rows:    standin.NewRows(),
		oracle:  standin.NewOracle(),
		group:   kernel.NewGroup(context.Background(), slog.New(slog.NewTextHandler(io.Discard, nil))),
		binary:  filepath.Join(t.TempDir(), "lemonsched"),
		version: 3,
	}
	d.faulty = breakable(d.rows)
	build := exec.Command("go", "build", "-buildvcs=false", "-o", d.binary, "lemonstream.dev/lemonstream/cmd/lemonsched")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("building the entry: %v\n%s", err, out)
	}
	router := gin.New()
	standin.StoreRoutes(router, d.rows)
	d.store = router
	d.configure()
	d.fleet = standin.NewFleet(d.rows, d.oracle, "z")
	for i := range p.instances {
		d.addInstance(fmt.Sprintf("m-%d", i), p.services[i%len(p.services)])
	}
	router = gin.New()
	d.fleet.Routes(router)
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	d.platform = d.link(server.Listener.Addr().String()).address()
	for i := range number("SOAK_ENTRIES", p.entries) {
		d.addEntry(i)
	}
	return d
}

func (d *deployment) addInstance(id, service string) {
	handler, up := d.fleet.Add(id, service)
	server := httptest.NewServer(handler)
	d.t.Cleanup(server.Close)
	up(netip.MustParseAddrPort(d.link(server.Listener.Addr().String()).address()))
}

// maintain asks for a wave over all instances.
func (d *deployment) maintain(number int64) {
	d.t.Helper()
	wave := standin.FleetWave{
		AtOnce: waveAtOnce,
	}
	for i := 0; i < instances; i++ {
		wave.Instances = append(wave.Instances, fmt.Sprintf("m-%d", i))
	}
	if err := d.fleet.Ask(number, wave); err != nil {
		d.t.Fatal(err)
	}
}

// waveEnds waits until a wave is shown as completed, and checks that it is.
func (d *deployment) waveEnds(number int64) {
	d.t.Helper()
	key := outside.Key{
		Table: "status",
		Name:  "wave/" + strconv.FormatInt(number, 10),
	}
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		row, err := d.rows.Table().Row(context.Background(), key)
		if err != nil || row == nil || !strings.Contains(string(row.Value), "completed") {
			continue
		}
		if left := d.fleet.Left(number); len(left) > 0 {
			d.t.Errorf("wave %d is shown as completed without %v", number, left)
		}
		return
	}
	d.t.Errorf("wave %d is not shown as completed; left: %v", number, d.fleet.Left(number))
}

// link starts a proxy in front of a server.
func (d *deployment) link(target string) *link {
	l := newLink(d.t, d.group, target)
	d.links = append(d.links, l)
	return l
}

// freePorts returns ports that nobody listens at.
func freePorts(t *testing.T) [3]int {
	t.Helper()
	var free [3]int
	for i := range free {
		address, err := ports.Take()
		if err != nil {
			t.Fatal(err)
		}
		free[i] = int(address.Port())
	}
	return free
}

func (d *deployment) addEntry(index int) {
	ports := freePorts(d.t)
	writes := &entryStore{
		next: d.store,
	}
	store := httptest.NewServer(writes)
	d.t.Cleanup(store.Close)
	link := d.link(store.Listener.Addr().String())
	settings := standin.EntrySettings(index, ports, link.address(), d.platform)
	path := filepath.Join(d.t.TempDir(), "settings.conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		d.t.Fatal(err)
	}
	output, err := os.Create(filepath.Join(d.t.TempDir(), "log"))
	if err != nil {
		d.t.Fatal(err)
	}
	e := &entry{
		settings: path,
		front:    d.link("127.0.0.1:" + strconv.Itoa(ports[0])).address(),
		ready:    "127.0.0.1:" + strconv.Itoa(ports[1]),
		output:   output,
		link:     link,
		writes:   writes,
	}
	d.entries = append(d.entries, e)
	d.start(e)
	d.t.Cleanup(func() {
		_ = e.command.Process.Kill()
		_, _ = e.command.Process.Wait()
		if d.t.Failed() {
			d.keep(e)
		}
	})
}

// keep prints the end of an entry's log of a failed run, and writes the whole of it into
// the folder that SOAK_LOGS names.
func (d *deployment) keep(e *entry) {
	log, err := os.ReadFile(e.output.Name())
	if err != nil {
		d.t.Logf("log of %s: %v", e.front, err)
		return
	}
	if folder := os.Getenv("SOAK_LOGS"); folder != "" {
		name := strings.NewReplacer("/", "-", ":", "-").Replace(d.t.Name() + "-" + e.front + ".log")
		if err := os.WriteFile(filepath.Join(folder, name), log, 0o600); err != nil {
			d.t.Logf("keeping the log of %s: %v", e.front, err)
		}
	}
	d.t.Logf("log of %s:\n%s", e.front, log[max(0, len(log)-20_000):])
}

func (d *deployment) start(e *entry) {
	e.command = exec.Command(d.binary)
	e.command.Env = append(os.Environ(), "LEMONSTREAM_SETTINGS="+e.settings)
	e.command.Stdout = e.output
	e.command.Stderr = e.output
	if err := e.command.Start(); err != nil {
		d.t.Fatal(err)
	}
}

// call sends one request of a caller; status 0 means no answer.
func call(method, front, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, ""
	}
	request.Host = "h.example"
	request.Header.Set("Deadline-Ms", "2500")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(answer)
}

// any calls entry after entry until one gives an answer that accept takes.
func (d *deployment) any(method, path, body string, accept func(int, string) bool) {
	d.t.Helper()
	end := time.Now().Add(patience)
	for i := 0; time.Now().Before(end); i++ {
		d.mend(false)
		status, answer := call(method, d.entries[i%len(d.entries)].front, path, body)
		if accept(status, answer) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	d.t.Fatalf("%s %s got no answer that was waited for", method, path)
}

func succeeded(status int, _ string) bool {
	return status == http.StatusOK
}

func completed(status int, answer string) bool {
	var shown struct {
		State string `json:"state"`
	}
	return status == http.StatusOK && json.Unmarshal([]byte(answer), &shown) == nil && shown.State == "completed"
}

const body = `{"spec":"x","steps":[{"count":3,"cpu":1000,"memMb":100,"estimateMs":120},{"count":2,"cpu":1000,"memMb":100,"estimateMs":120,"sinceRev":[0]}]}`

// fault breaks an entry, a link or the store from outside. What is not over at
// once is mended some time later, while other faults come.
func (d *deployment) fault(random *rand.Rand) {
	e := d.entries[random.Intn(len(d.entries))]
	l := d.links[random.Intn(len(d.links))]
	until := time.Now().Add(time.Duration(200+random.Intn(1800)) * time.Millisecond)
	switch random.Intn(9) {
	case 0:
		_ = e.command.Process.Signal(syscall.SIGKILL)
		_, _ = e.command.Process.Wait()
		d.start(e)
	case 1:
		_ = e.command.Process.Signal(syscall.SIGTERM)
		_, _ = e.command.Process.Wait()
		d.start(e)
	case 2:
		_ = e.command.Process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(random.Intn(1500)) * time.Millisecond)
		_ = e.command.Process.Signal(syscall.SIGCONT)
	case 3:
		d.rows.Forget()
		_ = e.command.Process.Signal(syscall.SIGHUP)
	case 4:
		d.version++
		d.configure()
	case 5, 6:
		d.faulty.set(storeFault(1 + random.Intn(int(storeFaultCount)-1)))
		d.mendAt(until, func() { d.faulty.set(storeWorks) })
	default:
		l.set(linkFault(1 + random.Intn(int(linkFaults)-1)))
		d.mendAt(until, func() { l.set(linkPasses) })
	}
}

func (d *deployment) mendAt(at time.Time, do func()) {
	d.mending = append(d.mending, mend{
		at: at,
		do: do,
	})
}

// mend ends the faults whose time is over, or all of them.
func (d *deployment) mend(all bool) {
	var left []mend
	for _, m := range d.mending {
		if all || time.Now().After(m.at) {
			m.do()
			continue
		}
		left = append(left, m)
	}
	d.mending = left
}

// configure puts a new version of the configuration in force.
func (d *deployment) configure() {
	d.rows.Write(outside.Key{
		Table: "op",
		Name:  "config",
	}, []byte(d.configuration(d.version)))
}

// TestJobsSurviveFaultsOfEntries is the short seeded run; SOAK_SEEDS asks for
// more seeds by hand, from SOAK_FIRST on.
func TestJobsSurviveFaultsOfEntries(t *testing.T) {
	forSeeds(t, soak)
}

// forSeeds runs a soak for each seed that is asked for.
func forSeeds(t *testing.T, run func(t *testing.T, seed int64)) {
	first := number("SOAK_FIRST", 1)
	for seed := first; seed < first+number("SOAK_SEEDS", 1); seed++ {
		t.Run("seed "+strconv.Itoa(seed), func(t *testing.T) { run(t, int64(seed)) })
	}
}

// number returns a whole number of the environment.
func number(name string, otherwise int) int {
	if asked, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return asked
	}
	return otherwise
}

func soak(t *testing.T, seed int64) {
	d := deploy(t)
	random := rand.New(rand.NewSource(seed))
	const rounds, each = 10, 3
	var ids []string
	for round := 0; round < rounds; round++ {
		if round == rounds/2 {
			d.maintain(1)
		}
		for i := 0; i < each; i++ {
			id := fmt.Sprintf("%016x", seed<<16|int64(round*each+i))
			ids = append(ids, id)
			d.any(http.MethodPost, "/q/"+id, body, succeeded)
		}
		d.fault(random)
	}
	d.mend(true)
	for _, id := range ids {
		d.any(http.MethodGet, "/q/"+id, "", completed)
	}
	d.waveEnds(1)
	status, _ := call(http.MethodGet, d.entries[0].front, "/q/0123456789abcdef", "")
	for end := time.Now().Add(patience); status != http.StatusGone && time.Now().Before(end); {
		status, _ = call(http.MethodGet, d.entries[0].front, "/q/0123456789abcdef", "")
	}
	if status != http.StatusGone {
		t.Errorf("an unknown job is answered with %d", status)
	}
	faults, starts := d.oracle.Faults()
	for _, fault := range faults {
		t.Error(fault)
	}
	t.Logf("seed %d: %d jobs, %d starts, %d faults", seed, len(ids), starts, len(faults))
}
