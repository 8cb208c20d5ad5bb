package standin

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/outside"
)

// darkTime is how long an instance of the stand-in is dark after an order.
const darkTime = 200 * time.Millisecond

// heartbeat is how often a worker writes its registration.
const heartbeat = 1500 * time.Millisecond

// livesOfAnID is how many lives of a worker share its id: the platform lets one start again
// under the id that it had.
const livesOfAnID = 2

const (
	// longestClock bounds the time on the clock of a worker that starts, slowestClock is the least rate
	// of such a clock.
	longestClock = 2 * time.Hour
	slowestClock = 0.98
)

// Cuts of an instance from the entries.
const (
	// CutAll lets nothing through, and the registration of the worker lapses.
	CutAll Cut = iota

	// CutEntries lets nothing through, while the registration stays.
	CutEntries

	// CutAnswers lets calls through and loses their answers.
	CutAnswers

	// CutKinds is the number of kinds.
	CutKinds
)

// Cut is a way in which an instance is cut off.
type Cut int

// Fleet is a stand-in for the instances of the users' platform: each runs one
// worker at a time, a worker ends when its instance is ordered to do something, and
// a new one comes with another id. It judges the orders from outside.
type Fleet struct {
	rows   *Rows
	oracle *Oracle

	// asleep names the pool whose instances are off.
	asleep string

	mu        sync.Mutex
	instances []*fleetInstance
	waves     map[int64]FleetWave
	chance    chance
}

// FleetWave is a request for maintenance.
type FleetWave struct {
	Instances []string
	AtOnce    int
}

// fleetInstance is one instance.
type fleetInstance struct {
	id      string
	pool    string
	address netip.AddrPort
	lives   int

	// worker is nil while the instance is dark or asleep.
	worker *Worker
	router *gin.Engine

	// reached says that a call on time has reached the worker.
	reached bool

	// entered is closed when the next worker enters.
	entered chan struct{}

	// cuts counts the partitions in force by their kind.
	cuts [CutKinds]int

	// state and wave are what the instance is doing, and for which wave; done holds
	// the waves that it went through.
	state string
	wave  int64
	done  map[int64]bool

	// holder and token are those of the last order.
	holder string
	token  int64
}

// NewFleet returns a fleet without instances.
func NewFleet(rows *Rows, oracle *Oracle, asleep string) *Fleet {
	return &Fleet{
		rows:   rows,
		oracle: oracle,
		asleep: asleep,
		waves:  make(map[int64]FleetWave),
		chance: chance{
			random: rand.New(rand.NewSource(1)),
		},
	}
}

// Add adds an instance whose workers answer at an address, and returns what serves
// there.
func (f *Fleet) Add(id, pool string) (http.Handler, func(address netip.AddrPort)) {
	i := &fleetInstance{
		id:      id,
		pool:    pool,
		lives:   1,
		state:   "up",
		done:    make(map[int64]bool),
		entered: make(chan struct{}),
	}
	serve := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(i, w, r) })
	return serve, func(address netip.AddrPort) {
		f.mu.Lock()
		defer f.mu.Unlock()
		i.address = address
		f.instances = append(f.instances, i)
		f.wake(i)
	}
}

// Ask puts a wave among what the operator asks for.
func (f *Fleet) Ask(number int64, wave FleetWave) error {
	body, err := json.Marshal(gin.H{
		"wave":      number,
		"machines":  wave.Instances,
		"durationS": 60,
		"maxItems":  wave.AtOnce,
	})
	if err != nil {
		return fmt.Errorf("encoding a wave: %w", err)
	}
	f.mu.Lock()
	f.waves[number] = wave
	f.mu.Unlock()
	f.rows.Write(outside.Key{
		Table: "op",
		Name:  "wave/" + strconv.FormatInt(number, 10),
	}, body)
	return nil
}

// Left returns the instances of a wave that have not begun their maintenance.
func (f *Fleet) Left(number int64) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var left []string
	for _, i := range f.instances {
		for _, id := range f.waves[number].Instances {
			if i.id == id && !i.done[number] {
				left = append(left, id)
			}
		}
	}
	return left
}

// Routes serves the protocol that the users' platform publishes for instances.
func (f *Fleet) Routes(router *gin.Engine) {
	router.GET("/machines", f.list)
	router.POST("/machine-move", f.order)
	router.POST("/machine-upkeep", f.order)
}

func (f *Fleet) list(c *gin.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]gin.H, 0, len(f.instances))
	for _, i := range f.instances {
		row := gin.H{
			"machine":  i.id,
			"pool":     i.pool,
			"state":    i.state,
			"zone":     "z",
			"labels":   []string{"a", "r1-1"},
			"capacity": gin.H{"cpu": 4000, "memMb": 4000, "gpus": 0},
		}
		if i.worker != nil {
			row["id"] = i.worker.ID
		}
		list = append(list, row)
	}
	c.JSON(http.StatusOK, gin.H{
		"machines":  list,
		"nextToken": nil,
	})
}

type fleetOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
}

func (f *Fleet) order(c *gin.Context) {
	var order fleetOrder
	token, err := strconv.ParseInt(c.GetHeader("Fencing-Token"), 10, 64)
	if err != nil || c.ShouldBindJSON(&order) != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.instances {
		if i.id == order.Machine {
			c.JSON(f.carryOut(i, order, c.GetHeader("Lease-Holder"), token))
			return
		}
	}
	c.Status(http.StatusBadRequest)
}

// carryOut does what an order asks for and judges it.
func (f *Fleet) carryOut(i *fleetInstance, order fleetOrder, holder string, token int64) (int, gin.H) {
	if token < i.token || (token == i.token && holder != i.holder) {
		f.oracle.fault("instance %s: order of %s with token %d after one of %s with %d", i.id, holder, token, i.holder, i.token)
	}
	i.holder = holder
	i.token = token
	already := (order.Wave > 0 && i.done[order.Wave]) || (order.Wave == 0 && i.pool == order.Pool)
	switch {
	case already:
		return http.StatusOK, gin.H{}
	case i.state != "up":
		return http.StatusConflict, gin.H{
			"reason": "busy",
		}
	}
	f.end(i)
	if order.Wave == 0 {
		i.state = "moving"
		i.pool = order.Pool
	} else {
		i.state = "upkeep"
		i.done[order.Wave] = true
		f.judgeWave(order.Wave)
	}
	i.wave = order.Wave
	time.AfterFunc(darkTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		i.state = "up"
		i.wave = 0
		i.lives++
		f.wake(i)
	})
	return http.StatusOK, gin.H{}
}

// judgeWave notes that more instances are down for a wave than it allows.
func (f *Fleet) judgeWave(number int64) {
	down := 0
	for _, i := range f.instances {
		if i.state == "upkeep" && (i.wave == number || i.wave == 0) {
			down++
		}
	}
	if most := f.waves[number].AtOnce; down > most {
		f.oracle.fault("wave %d: %d instances are down, %d may be", number, down, most)
	}
}

// end ends the worker of an instance and all that runs there.
func (f *Fleet) end(i *fleetInstance) {
	if i.worker == nil {
		return
	}
	i.worker.die()
	f.rows.Write(outside.Key{
		Table: "servers",
		Name:  i.worker.ID,
	}, nil)
	i.worker = nil
	i.router = nil
}

// wake lets a new worker enter the instance's pool, unless that is asleep.
func (f *Fleet) wake(i *fleetInstance) {
	if i.pool == f.asleep {
		return
	}
	i.worker = NewWorker(fmt.Sprintf("%s-%d", i.id, (i.lives+1)/livesOfAnID), i.pool, f.oracle)
	i.worker.Address = i.address
	i.worker.setClock(f.chance.newClock())
	worker := i.worker
	worker.crash = func() { f.crash(i, worker, crashedFor, false) }
	worker.isFull = f.chance.isFull
	i.router = gin.New()
	i.worker.Routes(i.router)
	i.reached = false
	close(i.entered)
	i.entered = make(chan struct{})
	f.rows.Write(outside.Key{
		Table: "servers",
		Name:  i.worker.ID,
	}, []byte(i.worker.Registration()))
}

// Crash ends the worker of an instance without a word, by the number of the instance, and
// lets another life of it come. It does nothing where there is none.
func (f *Fleet) Crash(number int) {
	f.crashNumber(number, crashedFor, false)
}

// Restart is like Crash; the next life comes after the given time and has the same id.
func (f *Fleet) Restart(number int, away time.Duration) {
	f.crashNumber(number, away, true)
}

func (f *Fleet) crashNumber(number int, away time.Duration, sameID bool) {
	f.mu.Lock()
	i := f.instances[number%len(f.instances)]
	worker := i.worker
	f.mu.Unlock()
	if worker != nil {
		f.crash(i, worker, away, sameID)
	}
}

// CutOff partitions the instance that runs a task of a job from everybody, and returns what ends
// the partition; nil if none runs one. The worker goes on running. Its registration lapses after
// three heartbeats, and is back with the next one.
func (f *Fleet) CutOff(job string) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.instances {
		if i.worker != nil && !i.isUnreached() && i.worker.runsTaskOf(job) {
			return f.cut(i, CutAll)
		}
	}
	return nil
}

// CutOffInstance cuts off an instance by its number, and returns what ends that.
func (f *Fleet) CutOffInstance(number int, kind Cut) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut(f.instances[number%len(f.instances)], kind)
}

func (f *Fleet) cut(i *fleetInstance, kind Cut) func() {
	i.cuts[kind]++
	worker := i.worker
	if kind == CutAll && worker != nil {
		time.AfterFunc(registeredFor, func() { f.register(i, worker, true) })
	}
	return func() {
		f.mu.Lock()
		i.cuts[kind]--
		f.mu.Unlock()
		if kind == CutAll && worker != nil {
			time.AfterFunc(heartbeat, func() { f.register(i, worker, false) })
		}
	}
}

// isUnreached reports whether calls to an instance are lost.
func (i *fleetInstance) isUnreached() bool {
	return i.cuts[CutAll]+i.cuts[CutEntries] > 0
}

// register removes the registration of a worker that is cut off, or writes that of one that is not,
// unless the worker has ended.
func (f *Fleet) register(i *fleetInstance, worker *Worker, lapsed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i.worker != worker || lapsed != (i.cuts[CutAll] > 0) {
		return
	}
	var row []byte
	if !lapsed {
		row = []byte(worker.Registration())
	}
	f.rows.Write(outside.Key{
		Table: "servers",
		Name:  worker.ID,
	}, row)
}

// runsTaskOf reports whether a task of a job runs on the worker.
func (w *Worker) runsTaskOf(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.runs {
		if strings.HasPrefix(task, job+".") {
			return true
		}
	}
	return false
}

// crash ends the worker of an instance without a word, and lets another one come.
func (f *Fleet) crash(i *fleetInstance, worker *Worker, away time.Duration, sameID bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i.worker != worker {
		return
	}
	worker.die()
	i.worker = nil
	i.router = nil
	time.AfterFunc(registeredFor, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if i.worker != nil && i.worker.ID == worker.ID {
			return
		}
		f.rows.Write(outside.Key{
			Table: "servers",
			Name:  worker.ID,
		}, nil)
	})
	time.AfterFunc(away, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if i.worker == nil && i.state == "up" {
			if !sameID {
				i.lives++
			}
			f.wake(i)
		}
	})
}
