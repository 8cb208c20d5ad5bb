package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
)

const (
	// callerTries bounds the tries of one request.
	callerTries = 8

	// callerTimeout bounds one try.
	callerTimeout = 5 * time.Second

	// longestRetry bounds how long a caller follows a Retry-After.
	longestRetry = time.Second
)

// Ends of a request as its caller sees it.
const (
	EndWhole End = iota
	EndRefused
	EndUnknown

	// EndCut is an answer that broke off at an entry that was not killed.
	EndCut

	// EndWrong is an answer to something else.
	EndWrong
)

// CallersOptions are what the callers do.
type CallersOptions struct {
	// Entries are tried like a balancer would; those in Killed may break
	// answers off.
	Entries []netip.AddrPort
	Killed  map[netip.AddrPort]bool

	Services []string
	Callers  int
	For      time.Duration

	// Pause is the mean pause of a caller between two requests.
	Pause time.Duration

	// Seed makes the same requests each time.
	Seed uint64
}

// Callers sends requests and remembers how each ended.
type Callers struct {
	options CallersOptions
	client  *http.Client

	mu   sync.Mutex
	ends map[string]Request
}

// End is how a request ended.
type End int

// Request is one request with its end.
type Request struct {
	Key          string
	Unrepeatable bool
	End          End
	Took         time.Duration

	// Doubts says of each try that left open whether the request has run, which entry it
	// went to, when, for how long, and what came back.
	Doubts []string
}

// problem is the part of a problem that callers look at.
type problem struct {
	Outcome string `json:"outcome"`
}

// attemptEnd is how one try ended.
type attemptEnd struct {
	end   End
	retry time.Duration

	// connected is false when no entry was reached.
	connected bool

	// doubt says what came back where that leaves open whether the request has run.
	doubt string
}

// NewCallers returns callers.
func NewCallers(o CallersOptions) *Callers {
	return &Callers{
		options: o,
		client: &http.Client{
			Timeout: callerTimeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: o.Callers,
			},
		},
		ends: make(map[string]Request),
	}
}

// Run sends until the time is over and returns every request.
func (c *Callers) Run(ctx context.Context) map[string]Request {
	until := time.Now().Add(c.options.For)
	var callers errgroup.Group
	for number := range c.options.Callers {
		random := rand.New(rand.NewPCG(c.options.Seed, uint64(number)))
		callers.Go(func() error {
			for time.Now().Before(until) && ctx.Err() == nil {
				c.one(ctx, random, number)
				time.Sleep(time.Duration(random.Float64() * 2 * float64(c.options.Pause)))
			}
			return nil
		})
	}
	_ = callers.Wait()
	return c.ends
}

// one sends one request until it has an end.
func (c *Callers) one(ctx context.Context, random *rand.Rand, number int) {
	key := uuid.Must(uuid.NewV7()).String()
	body := make([]byte, random.IntN(2000))
	if random.IntN(50) == 0 {
		body = make([]byte, 100_000)
	}
	header := http.Header{}
	header.Set("Idempotency-Key", key)
	header.Set("Lemonstream-Deadline", "4s")
	request := Request{
		Key: key,
	}
	switch random.IntN(3) {
	case 0:
		request.Unrepeatable = true
		header.Set("Lemonstream-Unrepeatable", "true")
	case 1:
		header.Set("Lemonstream-Session", "bay-"+strconv.Itoa(number))
	}
	service := c.options.Services[random.IntN(len(c.options.Services))]
	begin := time.Now()
	request.End, request.Doubts = c.untilEnd(ctx, random, service, header, body, request.Unrepeatable)
	request.Took = time.Since(begin)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends[key] = request
}

// untilEnd tries entries in turn. A request that may have run stays so,
// whatever a later try says, unless a later try answers it whole.
func (c *Callers) untilEnd(ctx context.Context, random *rand.Rand, service string, header http.Header, body []byte, unrepeatable bool) (End, []string) {
	var doubts []string
	first := random.IntN(len(c.options.Entries))
	for try := range callerTries {
		entry := c.options.Entries[(first+try)%len(c.options.Entries)]
		begin := time.Now()
		got := c.try(ctx, entry, service, header, body)
		if got.end == EndWhole || got.end == EndWrong || got.end == EndCut {
			return got.end, doubts
		}
		if got.end == EndUnknown {
			doubts = append(doubts, fmt.Sprintf("try %d at %s, sent %s, after %s: %s",
				try, entry, begin.UTC().Format("15:04:05.000"), time.Since(begin).Round(time.Millisecond), got.doubt))
		}
		if len(doubts) > 0 && unrepeatable && try >= 1 {
			// A second try of what may have run shows that it runs once.
			break
		}
		if got.connected {
			time.Sleep(min(got.retry, longestRetry))
		}
	}
	if len(doubts) > 0 {
		return EndUnknown, doubts
	}
	return EndRefused, nil
}

func (c *Callers) try(ctx context.Context, entry netip.AddrPort, service string, header http.Header, body []byte) attemptEnd {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.String()+"/call/"+service+"/work", struct{ io.Reader }{bytes.NewReader(body)})
	if err != nil {
		return attemptEnd{
			end: EndRefused,
		}
	}
	request.Header = header.Clone()
	request.ContentLength = int64(len(body))
	if len(body) == 0 {
		request.ContentLength = -1
	}
	response, err := c.client.Do(request)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return attemptEnd{
				end: EndRefused,
			}
		}
		return attemptEnd{
			end:       EndUnknown,
			connected: true,
			doubt:     err.Error(),
		}
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		if c.options.Killed[entry] {
			return attemptEnd{
				end:       EndUnknown,
				connected: true,
				doubt:     err.Error(),
			}
		}
		return attemptEnd{
			end:       EndCut,
			connected: true,
		}
	}
	return judge(response, answer, header.Get("Idempotency-Key"), body)
}

// judge reads an answer.
func judge(response *http.Response, answer []byte, key string, body []byte) attemptEnd {
	if response.StatusCode == http.StatusOK {
		if bytes.Equal(answer, Expected(key, body)) {
			return attemptEnd{
				end:       EndWhole,
				connected: true,
			}
		}
		return attemptEnd{
			end:       EndWrong,
			connected: true,
		}
	}
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		seconds = 0
	}
	retry := time.Duration(seconds) * time.Second
	var told problem
	if err := json.Unmarshal(answer, &told); err != nil || told.Outcome != "not-run" {
		return attemptEnd{
			end:       EndUnknown,
			connected: true,
			retry:     retry,
			doubt:     response.Status + " " + string(answer),
		}
	}
	return attemptEnd{
		end:       EndRefused,
		connected: true,
		retry:     retry,
	}
}

// Verdict is what the callers and the endpoints saw together.
type Verdict struct {
	Requests int
	Whole    int
	Refused  int
	Unknown  int

	// Lost counts answers without an execution, Doubled unrepeatable
	// requests that ran twice, Cut answers that broke off for a planned
	// reason, Wrong answers to something else and requests refused as not
	// run that ran.
	Lost    int
	Doubled int
	Cut     int
	Wrong   int

	// Doubts are those of the requests that ended unknown.
	Doubts []string
}

// Judge compares the callers' ends with the endpoints' executions.
func Judge(ends map[string]Request, ran map[string]int, cutAtEndpoints int) Verdict {
	verdict := Verdict{
		Requests: len(ends),
		Cut:      cutAtEndpoints,
	}
	for key, request := range ends {
		switch request.End {
		case EndWhole:
			verdict.Whole++
			if ran[key] == 0 {
				verdict.Lost++
			}
		case EndRefused:
			verdict.Refused++
			if ran[key] > 0 {
				verdict.Wrong++
			}
		case EndUnknown:
			verdict.Unknown++
			verdict.Doubts = append(verdict.Doubts, key+": "+strings.Join(request.Doubts, "; "))
		case EndCut:
			verdict.Cut++
		case EndWrong:
			verdict.Wrong++
		}
		if request.Unrepeatable && ran[key] > 1 {
			verdict.Doubled++
		}
	}
	return verdict
}

// String returns the verdict in the form of the demo's last line.
func (v Verdict) String() string {
	return fmt.Sprintf("requests=%d whole=%d refused=%d unknown=%d lost=%d doubled=%d cut=%d wrong=%d", v.Requests, v.Whole, v.Refused, v.Unknown, v.Lost, v.Doubled, v.Cut, v.Wrong)
}

// Holds reports whether nothing was lost, doubled, cut or wrong.
func (v Verdict) Holds() bool {
	return v.Lost+v.Doubled+v.Cut+v.Wrong == 0
}
