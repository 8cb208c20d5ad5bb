package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// callTime is how long a client waits for an answer, callTries how often it tries.
	callTime  = 3 * time.Second
	callTries = 5

	// gangPause is the pause between two jobs with a gang: 16 of them come in 4 s.
	gangPause = 250 * time.Millisecond

	// retryPause is the pause before the next try where the answer names none.
	retryPause = 500 * time.Millisecond
)

// step is a step of a job as it goes over the wire.
type step struct {
	Count      int `json:"count"`
	CPU        int `json:"cpu"`
	MemMB      int `json:"memMb"`
	EstimateMs int `json:"estimateMs"`

	Gang     bool `json:"gang,omitempty"`
	SameRack bool `json:"sameRack,omitempty"`
}

// jobBody is the body with which a job is handed in.
type jobBody struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`

	// FirstRunMs, IntervalMs and RepeatCount are those of a job with times.
	FirstRunMs  int64 `json:"firstRunMs,omitempty"`
	IntervalMs  int64 `json:"intervalMs,omitempty"`
	RepeatCount int   `json:"repeatCount,omitempty"`
}

// call is a line of the clients' record.
type call struct {
	AtMs   int64  `json:"at_ms"`
	TookMs int64  `json:"took_ms"`
	Method string `json:"method"`
	Job    string `json:"job"`
	Front  string `json:"front"`
	Status int    `json:"status"`
	Body   string `json:"body,omitempty"`
	Error  string `json:"error,omitempty"`
}

// clients hand in jobs and ask for them, at any entry.
type clients struct {
	fronts []string
	host   string
	prefix string
	http   *http.Client

	mu       sync.Mutex
	record   *os.File
	accepted map[string]time.Time
	refused  map[string]int

	// units is how many work units a job has, over all its times; 0 for a gang.
	units map[string]int
}

// plan is what the clients do.
type plan struct {
	// large is how many work units the large job has.
	large int
	work  int
	cpu   int

	// repeat is how many times the large job has, one each second. late says that it is handed in when all of
	// them are due; otherwise the first is due then.
	repeat int
	late   bool

	// gangs is how many jobs are handed in, in place of the large one, whose work units work only together.
	gangs int

	// A small job is handed in at each interval from from to until, counted from the start.
	from     time.Duration
	until    time.Duration
	interval time.Duration

	// finish is how long after the end of the traffic jobs are asked for.
	finish time.Duration
}

// runClients plays a plan and judges it by the records.
func runClients(args []string) (int, error) {
	flags := flag.NewFlagSet("clients", flag.ContinueOnError)
	fronts := flags.String("fronts", "", "addresses of the entries, joined by commas")
	host := flags.String("host", "", "host of the queue")
	prefix := flags.String("prefix", "", "path prefix of the queue")
	record := flags.String("record", "", "file that takes the record")
	workers := flags.String("workers", "", "records of the workers, as a pattern")
	capacity := flags.Int("capacity", 0, "thousandths of a core of all workers")
	var p plan
	flags.IntVar(&p.large, "large", 0, "work units of the large job")
	flags.IntVar(&p.work, "work", 12000, "milliseconds of one of its work units")
	flags.IntVar(&p.repeat, "repeat", 0, "times of the large job, one each second")
	flags.BoolVar(&p.late, "late", false, "whether all of them are due when it is handed in")
	flags.IntVar(&p.cpu, "cpu", 20, "thousandths of a core of one of its work units")
	flags.IntVar(&p.gangs, "gangs", 0, "jobs with one gang, in place of the large job")
	flags.DurationVar(&p.from, "from", 4*time.Second, "first small job")
	flags.DurationVar(&p.until, "until", 50*time.Second, "end of the traffic")
	flags.DurationVar(&p.interval, "interval", 400*time.Millisecond, "time between two small jobs")
	flags.DurationVar(&p.finish, "finish", 14*time.Second, "from the end of the traffic until jobs are asked for")
	if err := flags.Parse(args); err != nil {
		return codeNotRun, err
	}
	file, err := os.OpenFile(*record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return codeNotRun, err
	}
	c := &clients{
		fronts: strings.Split(*fronts, ","),
		host:   *host,
		prefix: *prefix,
		http: &http.Client{
			Timeout: callTime,
		},
		record:   file,
		accepted: make(map[string]time.Time),
		refused:  make(map[string]int),
		units:    make(map[string]int),
	}
	c.play(p)
	return c.judge(*workers, *capacity)
}

// play hands in the jobs of a plan and waits until they are to be asked for.
func (c *clients) play(p plan) {
	began := time.Now()
	var all sync.WaitGroup
	if p.large > 0 && p.gangs == 0 {
		all.Go(func() { c.submit(p.largeJob()) })
	}
	for number := range p.gangs {
		all.Go(func() {
			time.Sleep(time.Duration(number) * gangPause)
			c.submit(p.gangJob())
		})
	}
	time.Sleep(p.from)
	for time.Since(began) < p.until {
		all.Go(func() {
			c.submit(jobBody{
				Spec: "work=500 cpu=100 mem=16",
				Steps: []step{{
					Count:      1,
					CPU:        100,
					MemMB:      16,
					EstimateMs: 500,
				}},
			})
		})
		time.Sleep(p.interval)
	}
	all.Wait()
	time.Sleep(time.Until(began.Add(p.until + p.finish)))
}

// largeJob returns the large job.
func (p plan) largeJob() jobBody {
	body := jobBody{
		Spec: fmt.Sprintf("work=%d cpu=%d mem=4", p.work, p.cpu),
		Steps: []step{{
			Count:      p.large,
			CPU:        p.cpu,
			MemMB:      4,
			EstimateMs: p.work,
		}},
	}
	if p.repeat > 0 {
		first := time.Now()
		if p.late {
			first = first.Add(-time.Duration(p.repeat) * time.Second)
		}
		body.FirstRunMs = first.UnixMilli()
		body.IntervalMs = time.Second.Milliseconds()
		body.RepeatCount = p.repeat
	}
	return body
}

// gangJob returns a job with one gang.
func (p plan) gangJob() jobBody {
	body := p.largeJob()
	body.Steps[0].Gang = true
	body.Steps[0].SameRack = true
	return body
}

// units returns how many work units must end well for a job to be completed, 0 for a gang: the cases hand
// in gangs that need not start.
func (b jobBody) units() int {
	sum := 0
	for _, one := range b.Steps {
		if one.Gang {
			return 0
		}
		sum += one.Count
	}
	return sum * max(1, b.RepeatCount)
}

// submit hands a job in until it is accepted, refused for good or was tried often enough.
func (c *clients) submit(body jobBody) {
	encoded, err := json.Marshal(body)
	if err != nil {
		fmt.Fprintln(os.Stderr, "job:", err)
		return
	}
	id := fmt.Sprintf("%016x", rand.Uint64())
	c.mu.Lock()
	c.units[id] = body.units()
	c.mu.Unlock()
	for range callTries {
		status, _, pause := c.call(http.MethodPost, id, encoded)
		switch {
		case status/100 == 2:
			c.mu.Lock()
			c.accepted[id] = time.Now()
			c.mu.Unlock()
			return
		case status == http.StatusNotFound || status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge:
			c.mu.Lock()
			c.refused[id] = status
			c.mu.Unlock()
			return
		}
		time.Sleep(pause)
	}
	c.mu.Lock()
	c.refused[id] = 0
	c.mu.Unlock()
}

// state asks for a job; it is empty where no try got an answer, "410" where the job isn't known.
func (c *clients) state(id string) string {
	for range callTries {
		status, body, pause := c.call(http.MethodGet, id, nil)
		var answer struct {
			State string `json:"state"`
		}
		if status == http.StatusGone {
			return strconv.Itoa(status)
		}
		if status == http.StatusOK && json.Unmarshal(body, &answer) == nil {
			return answer.State
		}
		time.Sleep(pause)
	}
	return ""
}

// call makes one try at any entry, and returns how long to wait before the next one.
func (c *clients) call(method, id string, body []byte) (int, []byte, time.Duration) {
	front := c.fronts[rand.IntN(len(c.fronts))]
	line := call{
		AtMs:   time.Now().UnixMilli(),
		Method: method,
		Job:    id,
		Front:  front,
	}
	answered, pause, err := c.send(method, "http://"+front+c.prefix+id, body, &line)
	if err != nil {
		line.Error = err.Error()
	}
	line.TookMs = time.Now().UnixMilli() - line.AtMs
	c.note(line)
	return line.Status, answered, pause
}

func (c *clients) send(method, target string, body []byte, line *call) ([]byte, time.Duration, error) {
	request, err := http.NewRequestWithContext(context.Background(), method, target, bytes.NewReader(body))
	if err != nil {
		return nil, retryPause, err
	}
	request.Host = c.host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", strconv.FormatInt(callTime.Milliseconds(), 10))
	answer, err := c.http.Do(request)
	if err != nil {
		return nil, retryPause, err
	}
	answered, err := io.ReadAll(answer.Body)
	if closed := answer.Body.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return nil, retryPause, err
	}
	line.Status = answer.StatusCode
	line.Body = strings.TrimSpace(string(answered))
	if seconds, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil {
		return answered, time.Duration(seconds) * time.Second, nil
	}
	return answered, retryPause, nil
}

// note writes a line of the record.
func (c *clients) note(line any) {
	encoded, err := json.Marshal(line)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		_, err = c.record.Write(append(encoded, '\n'))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
}
