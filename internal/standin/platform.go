package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/store"
)

const (
	// PathBeat is where an instance tells the platform that it lives.
	PathBeat = "/standin/beat"

	// PathCounts tells how often the table was used.
	PathCounts = "/standin/counts"

	// PathFault switches a fault.
	PathFault = "/standin/fault"
)

// goneAfter is how long after its last beat an instance leaves the list.
const goneAfter = 1500 * time.Millisecond

// taskLength is how long a task runs on the stand-in's workers.
const taskLength = 2 * time.Second

// phantomLife keeps phantoms on the list for longer than any measure.
const phantomLife = 24 * time.Hour

// Beat is what an instance tells, and BeatAnswer what it is told.
type Beat struct {
	Listed store.Listed `json:"listed"`
}

// BeatAnswer asks the instance to reboot when Reboot is not empty.
type BeatAnswer struct {
	Reboot string `json:"reboot"`
}

// Platform is the stand-in for the platform as an HTTP server.
type Platform struct {
	Table  *Table
	Tasks  *Tasks
	Faults *Switch

	mu        sync.Mutex
	objects   map[string][]byte
	instances map[string]*instance

	// lag is how late the list shows what is.
	lag time.Duration

	// history holds the lists of the last moments, oldest first.
	history []pastList
}

type instance struct {
	listed  store.Listed
	beat    time.Time
	reboot  string
	reboots map[string]bool

	// leaving marks an instance that the list shows as leaving.
	leaving bool
}

type pastList struct {
	at   time.Time
	body []byte
}

// NewPlatform returns a platform whose list lags by lag.
func NewPlatform(lag time.Duration) *Platform {
	return &Platform{
		Table:     NewTable(),
		Tasks:     NewTasks(time.Now, taskLength),
		Faults:    &Switch{},
		objects:   make(map[string][]byte),
		instances: make(map[string]*instance),
		lag:       lag,
	}
}

// AddPhantoms lists instances that do not exist, four to a rack over eight
// availability zones and over the pools in turn.
func (p *Platform) AddPhantoms(count int, pools ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for number := range count {
		id := fmt.Sprintf("phantom-%04d", number)
		p.instances[id] = &instance{
			listed: store.Listed{
				ID:      id,
				Pool:    pools[number%len(pools)],
				Rack:    fmt.Sprintf("rack-%03d", number/4),
				Zone:    fmt.Sprintf("zone-%d", number%8),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 9),
				State:   store.ListedLive,
			},
			beat:    time.Now().Add(phantomLife),
			reboots: make(map[string]bool),
		}
	}
}

// Leave lists the instance as leaving from now on.
func (p *Platform) Leave(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if one := p.instances[id]; one != nil {
		one.leaving = true
	}
}

// Object returns the object at key, or nil.
func (p *Platform) Object(key string) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.objects["/"+key]
}

// Routes adds the platform's routes.
func (p *Platform) Routes(engine *gin.Engine) {
	engine.POST(PathFault, func(c *gin.Context) { p.Faults.Set(Fault(c.Query("mode"))) })
	engine.GET(PathCounts, func(c *gin.Context) {
		writes, reads := p.Table.Counts()
		c.String(http.StatusOK, fmt.Sprintf("writes=%d reads=%d\n", writes, reads))
	})
	engine.POST(PathBeat, p.beat)
	faulty := engine.Group("", p.fault)
	faulty.GET(store.PathRead, func(c *gin.Context) { c.JSON(http.StatusOK, p.Table.Read(c.Query("key"))) })
	faulty.GET(store.PathScan, p.scan)
	faulty.POST(store.PathTransact, p.transact)
	faulty.GET(store.PathObjects+"*key", p.getObject)
	faulty.PUT(store.PathObjects+"*key", p.putObject)
	faulty.GET(store.PathInstances, p.list)
	faulty.POST(store.PathInstances+"/:id/reboot", p.reboot)
	p.taskRoutes(faulty)
}

func (p *Platform) beat(c *gin.Context) {
	var beat Beat
	if err := c.ShouldBindJSON(&beat); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	one, found := p.instances[beat.Listed.ID]
	if !found {
		one = &instance{
			reboots: make(map[string]bool),
		}
		p.instances[beat.Listed.ID] = one
	}
	one.listed = beat.Listed
	one.beat = time.Now()
	c.JSON(http.StatusOK, BeatAnswer{
		Reboot: one.reboot,
	})
	one.reboot = ""
}

// fault makes a call fail as the switch says.
func (p *Platform) fault(c *gin.Context) {
	switch p.Faults.Get() {
	case FaultTableDown:
		if strings.HasPrefix(c.Request.URL.Path, "/table/") {
			c.AbortWithStatus(http.StatusServiceUnavailable)
		}
	case FaultDown:
		c.AbortWithStatus(http.StatusServiceUnavailable)
	case FaultSlow:
		time.Sleep(slowBy)
	case FaultLose:
		if c.Request.Method != http.MethodGet {
			c.Next()
			panic(http.ErrAbortHandler)
		}
	}
}

func (p *Platform) getObject(c *gin.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	body, found := p.objects[objectKey(c)]
	if !found {
		c.Status(http.StatusNotFound)
		return
	}
	c.Data(http.StatusOK, "application/octet-stream", body)
}

func (p *Platform) list(c *gin.Context) {
	body := p.lagging()
	tag := strconv.FormatUint(xxhash.Sum64(body), 16)
	c.Header("ETag", tag)
	if c.GetHeader("If-None-Match") == tag {
		c.Status(http.StatusNotModified)
		return
	}
	c.Data(http.StatusOK, "application/json", body)
}

// lagging returns the list as it was lag ago.
func (p *Platform) lagging() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.history = append(p.history, pastList{
		at:   now,
		body: p.present(now),
	})
	for len(p.history) > 1 && now.Sub(p.history[1].at) >= p.lag {
		p.history = p.history[1:]
	}
	return p.history[0].body
}

func (p *Platform) present(now time.Time) []byte {
	lines := make([]store.Listed, 0, len(p.instances))
	for _, one := range p.instances {
		if now.Sub(one.beat) <= goneAfter {
			line := one.listed
			if one.leaving {
				line.State = store.ListedLeaving
			}
			lines = append(lines, line)
		}
	}
	sort.Slice(lines, func(i, j int) bool { return lines[i].ID < lines[j].ID })
	body, err := json.Marshal(lines)
	if err != nil {
		return []byte("[]")
	}
	return body
}

func (p *Platform) putObject(c *gin.Context) {
	body, err := io.ReadAll(io.LimitReader(c.Request.Body, store.MaxObjectBytes))
	if err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[objectKey(c)] = body
}

func (p *Platform) reboot(c *gin.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	one, found := p.instances[c.Param("id")]
	if !found {
		c.Status(http.StatusNotFound)
		return
	}
	op := c.Query("op")
	if !one.reboots[op] {
		one.reboots[op] = true
		one.reboot = op
	}
}

func (p *Platform) scan(c *gin.Context) {
	after, err := strconv.ParseInt(c.Query("after"), 10, 64)
	if err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	c.JSON(http.StatusOK, p.Table.Scan(c.Query("prefix"), after))
}

func (p *Platform) transact(c *gin.Context) {
	var tx store.Transaction
	if err := c.ShouldBindJSON(&tx); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	revision, err := p.Table.Transact(tx)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		c.JSON(http.StatusConflict, store.ConflictAnswer{
			Key:  conflict.Key,
			Want: conflict.Want,
			Have: conflict.Have,
			Op:   conflict.Op,
		})
		return
	}
	c.JSON(http.StatusOK, store.TransactAnswer{
		Revision: revision,
	})
}

func objectKey(c *gin.Context) string {
	key, err := url.PathUnescape(c.Param("key"))
	if err != nil {
		return c.Param("key")
	}
	return key
}
