package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"lemonstream.dev/lemonstream/store"
)

// Faults of an endpoint.
const (
	// EndpointFail answers every request with 500 at once.
	EndpointFail Fault = "fail"

	// EndpointHalf answers half and closes.
	EndpointHalf Fault = "half"

	// EndpointHang takes a request and never answers.
	EndpointHang Fault = "hang"

	// EndpointWrong answers with the identity of another request.
	EndpointWrong Fault = "wrong"
)

const (
	// beatEvery is the pause between two beats.
	beatEvery = 200 * time.Millisecond

	// rebootTime is how long a reboot takes.
	rebootTime = 700 * time.Millisecond

	// HeaderEndpoint names the endpoint in its answers.
	HeaderEndpoint = "Standin-Endpoint"
)

// EndpointOptions are what an endpoint is.
type EndpointOptions struct {
	Listed   store.Listed
	Platform netip.AddrPort

	// Executions is the file that gets a line for each request that ran and
	// each that a planned reboot cut; empty for none.
	Executions string

	// Slots is the number of requests worked on at once.
	Slots int

	// Work is the mean time of one request.
	Work time.Duration
}

// Endpoint is the stand-in for an endpoint.
type Endpoint struct {
	Faults  Switch
	options EndpointOptions
	slots   chan struct{}
	output  *os.File

	// waiting counts the requests that came in and are not answered.
	waiting atomic.Int64

	mu     sync.Mutex
	listed store.Listed
}

// NewEndpoint returns an endpoint that does not listen yet.
func NewEndpoint(o EndpointOptions) (*Endpoint, error) {
	e := &Endpoint{
		options: o,
		slots:   make(chan struct{}, o.Slots),
		listed:  o.Listed,
	}
	if o.Executions == "" {
		return e, nil
	}
	output, err := os.OpenFile(o.Executions, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("opening executions: %w", err)
	}
	e.output = output
	return e, nil
}

// Run serves and beats until ctx ends. Each turn of its loop is one boot.
func (e *Endpoint) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		listener, err := net.Listen("tcp", e.options.Listed.Address.String())
		if err != nil {
			return fmt.Errorf("endpoint %s: %w", e.options.Listed.ID, err)
		}
		server := &http.Server{
			Handler:           http.HandlerFunc(e.serve),
			ReadHeaderTimeout: time.Minute,
		}
		var boot errgroup.Group
		boot.Go(func() error { return server.Serve(listener) })
		e.beat(ctx)
		for range e.waiting.Load() {
			e.record("cut reboot\n")
		}
		_ = server.Close()
		_ = boot.Wait()
		e.reboot(ctx)
	}
	return nil
}

// beat tells the platform that the endpoint lives, until it is to reboot.
func (e *Endpoint) beat(ctx context.Context) {
	client := &http.Client{
		Timeout: time.Second,
	}
	for ctx.Err() == nil {
		if op := e.tell(ctx, client); op != "" {
			return
		}
		time.Sleep(beatEvery)
	}
}

func (e *Endpoint) reboot(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	time.Sleep(rebootTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listed.Boot++
}

func (e *Endpoint) tell(ctx context.Context, client *http.Client) string {
	e.mu.Lock()
	body, err := json.Marshal(Beat{
		Listed: e.listed,
	})
	e.mu.Unlock()
	if err != nil {
		return ""
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.options.Platform.String()+PathBeat, bytes.NewReader(body))
	if err != nil {
		return ""
	}
	response, err := client.Do(request)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	var answer BeatAnswer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return ""
	}
	return answer.Reboot
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathFault {
		e.Faults.Set(Fault(r.URL.Query().Get("mode")))
		return
	}
	e.waiting.Add(1)
	defer e.waiting.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	fault := e.Faults.Get()
	if fault == EndpointFail {
		http.Error(w, "switched to fail", http.StatusInternalServerError)
		return
	}
	e.record(fmt.Sprintf("ran %s %s\n", r.Header.Get("Idempotency-Key"), r.Header.Get("Lemonstream-Unrepeatable")))
	e.work(r.Context())
	e.answer(w, r, body, fault)
}

func (e *Endpoint) answer(w http.ResponseWriter, r *http.Request, body []byte, fault Fault) {
	w.Header().Set(HeaderEndpoint, e.options.Listed.ID)
	w.Header().Set("Lemonstream-Request-Id", r.Header.Get("Lemonstream-Request-Id"))
	answer := Expected(r.Header.Get("Idempotency-Key"), body)
	switch fault {
	case EndpointHang:
		<-r.Context().Done()
	case EndpointHalf:
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
		_, _ = w.Write(answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	case EndpointWrong:
		w.Header().Set("Lemonstream-Request-Id", "of another request")
		_, _ = w.Write(Expected("another", body))
	default:
		_, _ = w.Write(answer)
	}
}

func (e *Endpoint) record(line string) {
	if e.output != nil {
		_, _ = e.output.WriteString(line)
	}
}

// work takes a time around the mean.
func (e *Endpoint) work(ctx context.Context) {
	if e.options.Work == 0 {
		return
	}
	length := time.Duration((0.5 + rand.Float64()) * float64(e.options.Work))
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Expected returns the whole answer to a request, which depends on its
// identity and its body.
func Expected(key string, body []byte) []byte {
	sum := sha256.Sum256(append([]byte(key), body...))
	line := hex.EncodeToString(sum[:]) + "\n"
	return bytes.Repeat([]byte(line), 1+len(body)/256)
}
