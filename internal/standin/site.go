package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/outside"
)

const (
	// LastingText is the text of jobs whose tasks run until they are stopped.
	LastingText = "lasting"

	// waveNumber and waveAtOnce are those of the one wave of a site.
	waveNumber = 1
	waveAtOnce = 2

	siteConfiguration = `{"version":1,"routes":[{"name":"q","host":"h.example","pathPrefix":"/q/","timeoutMs":3000,"targetLatencyMs":600,"priority":0,"service":"s","maxAttempts":3,"stretch":1.6}],` +
		`"services":[{"name":"s","rejectsOverload":true},{"name":"z","rejectsOverload":true,"headroom":true}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
)

// Site is a stand-in of the users' platform with its store, instances and workers,
// as one process. It writes the settings of the entries into a folder.
type Site struct {
	rows   *Rows
	oracle *Oracle
	fleet  *Fleet

	servers   []*http.Server
	listeners []net.Listener

	mu        sync.Mutex
	awayUntil time.Time
}

// SiteOptions say what a site holds.
type SiteOptions struct {
	// Dir is where settings and the addresses are written.
	Dir string

	Entries   int
	Instances int

	// FirstPort is the first of three ports for each entry.
	FirstPort int
}

// SiteFile is what callers read of a site.
type SiteFile struct {
	Store  string   `json:"store"`
	Fronts []string `json:"fronts"`
}

// SiteVerdict is what the site saw of the entries from outside.
type SiteVerdict struct {
	Starts   int      `json:"starts"`
	Faults   []string `json:"faults"`
	WaveLeft []string `json:"wave_left"`
}

// NewSite returns a site that listens; Run serves it.
func NewSite(options SiteOptions) (*Site, error) {
	s := &Site{
		rows:   NewRows(),
		oracle: NewOracle(),
	}
	s.rows.Before = s.before
	s.fleet = NewFleet(s.rows, s.oracle, "z")
	s.rows.Write(outside.Key{
		Table: "op",
		Name:  "config",
	}, []byte(siteConfiguration))
	for i := 0; i < options.Instances; i++ {
		handler, up := s.fleet.Add(instanceName(i), "s")
		address, err := s.listen(handler)
		if err != nil {
			return nil, err
		}
		up(address)
	}
	router := gin.New()
	StoreRoutes(router, s.rows)
	s.fleet.Routes(router)
	s.controlRoutes(router, options.Instances)
	store, err := s.listen(router)
	if err != nil {
		return nil, err
	}
	return s, writeSite(options, store.String())
}

func instanceName(index int) string {
	return fmt.Sprintf("m-%d", index)
}

// writeSite writes the settings of each entry and what callers need.
func writeSite(options SiteOptions, store string) error {
	file := SiteFile{
		Store: store,
	}
	for i := 0; i < options.Entries; i++ {
		port := options.FirstPort + 3*i
		file.Fronts = append(file.Fronts, fmt.Sprintf("127.0.0.1:%d", port))
		settings := EntrySettings(i, [3]int{port, port + 1, port + 2}, store, store)
		path := filepath.Join(options.Dir, fmt.Sprintf("entry-%d.conf", i))
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			return fmt.Errorf("writing settings: %w", err)
		}
	}
	body, err := json.Marshal(file)
	if err != nil {
		return fmt.Errorf("encoding the site's file: %w", err)
	}
	return os.WriteFile(filepath.Join(options.Dir, "site.json"), body, 0o600)
}

// EntrySettings returns the settings of an entry: its number, its ports for callers,
// readiness and other entries, and where the store and the instances answer.
func EntrySettings(number int, ports [3]int, store, instances string) string {
	return strings.Join([]string{
		"nodeName=entry-" + strconv.Itoa(number),
		"zone=z",
		"ip=127.0.0.1",
		fmt.Sprintf("listen.front=127.0.0.1:%d", ports[0]),
		fmt.Sprintf("listen.ready=127.0.0.1:%d", ports[1]),
		fmt.Sprintf("portRange=%d,%d", ports[2], ports[2]),
		"platform.address=" + store,
		"cloudApi.address=" + instances,
		"cloudApi.dutyPerS=20",
		"bounds.move_s=0.2",
		"bounds.upkeep_s=0.2",
		"bounds.leaseMs=500",
		"bounds.graceS=6",
		"bounds.stop_ms=100",
		"",
	}, "\n")
}

// Run serves the site until ctx ends.
func (s *Site) Run(ctx context.Context) error {
	failed := make(chan error, len(s.servers))
	var all sync.WaitGroup
	for i, server := range s.servers {
		all.Go(func() { failed <- server.Serve(s.listeners[i]) })
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	all.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Site) listen(handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listening: %w", err)
	}
	s.listeners = append(s.listeners, listener)
	s.servers = append(s.servers, &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Minute,
	})
	return netip.ParseAddrPort(listener.Addr().String())
}

// controlRoutes serves whoever breaks the site and asks what it saw.
func (s *Site) controlRoutes(router *gin.Engine, instances int) {
	router.POST("/control/away", func(c *gin.Context) {
		ms, err := strconv.Atoi(c.Query("ms"))
		if err != nil {
			c.Status(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		s.awayUntil = time.Now().Add(time.Duration(ms) * time.Millisecond)
		s.mu.Unlock()
		c.Status(http.StatusNoContent)
	})
	router.POST("/control/wave", func(c *gin.Context) {
		wave := FleetWave{
			AtOnce: waveAtOnce,
		}
		for i := 0; i < instances; i++ {
			wave.Instances = append(wave.Instances, instanceName(i))
		}
		if err := s.fleet.Ask(waveNumber, wave); err != nil {
			c.String(http.StatusInternalServerError, err.Error())
			return
		}
		c.Status(http.StatusNoContent)
	})
	router.GET("/control/verdict", func(c *gin.Context) {
		faults, starts := s.oracle.Faults()
		c.JSON(http.StatusOK, SiteVerdict{
			Starts:   starts,
			Faults:   faults,
			WaveLeft: s.fleet.Left(waveNumber),
		})
	})
}

// before refuses calls of the store while it is away.
func (s *Site) before(_ context.Context, call Call) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.awayUntil) {
		return &outside.NotDoneError{
			Call: call.Kind,
		}
	}
	return nil
}
