package main

import (
	"fmt"
	"net/http"
	"time"
)

// Figures of the case of a large job that can never be done.
const (
	poolSize   = 12
	largeTasks = 12_000
	failTime   = 3 * time.Second
	finish     = 14 * time.Second
	idleBound  = 3 * time.Second
	smallJobs  = 24
	earlyJobs  = 8

	queuePrefix = "/puxa400/"
	largeID     = "5c0e7a21d94b36f8"
	pool        = "huvo11a"
)

const queueConfiguration = `{"version":7,"routes":[{"name":"r-8pjbvk9","host":"pule25.example","pathPrefix":"/puxa400/","kind":"unsafe",` +
	`"timeoutMs":3000,"targetLatencyMs":600,"priority":0,"service":"huvo11a","maxAttempts":3,"stretch":1.6}],` +
	`"services":[{"name":"huvo11a","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"rejectsOverload":true,"headroom":false}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// smallJob returns the nth small job: two tasks of half a second.
func smallJob(number int) jobSpec {
	return jobSpec{
		id:     fmt.Sprintf("%016x", 0x1000+number),
		prefix: queuePrefix,
		count:  2,
		need: room{
			CPU:   500,
			MemMB: 256,
		},
		length: 500 * time.Millisecond,
		body:   `{"spec":"small","steps":[{"count":2,"cpu":500,"memMb":256,"estimateMs":500}]}`,
	}
}

// largeJobNeverDone plays one large job whose tasks all fail, and asks what becomes of small jobs of the
// same queue that are accepted afterwards. Without trouble the tasks of the large job succeed.
func largeJobNeverDone(l *lab) (bool, error) {
	l.store.write("op", "config", []byte(queueConfiguration))
	if err := l.addPool(poolSize, room{CPU: 16_000, MemMB: 32_768}); err != nil {
		return false, err
	}
	l.behave = func(_ string, j *job, _ *worker) (time.Duration, string) {
		if j.id == largeID && l.trouble {
			return failTime, "failed"
		}
		return j.length, "done"
	}
	if err := l.open(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	for i := range earlyJobs {
		l.handIn(smallJob(i), 5)
	}
	large := jobSpec{
		id:     largeID,
		prefix: queuePrefix,
		count:  largeTasks,
		need: room{
			CPU:   10,
			MemMB: 16,
		},
		length: failTime,
		body:   fmt.Sprintf(`{"spec":"large","steps":[{"count":%d,"cpu":10,"memMb":16,"estimateMs":3000}]}`, largeTasks),
	}
	if !l.handIn(large, 5) {
		return false, fmt.Errorf("the large job was not accepted")
	}
	for range 5 {
		time.Sleep(2 * time.Second)
		l.report(largeID)
	}
	for i := earlyJobs; i < smallJobs; i++ {
		l.handIn(smallJob(i), 5)
		time.Sleep(200 * time.Millisecond)
	}
	return l.judge(time.Now().Add(finish)), nil
}

// report notes what became of a job so far.
func (l *lab) report(id string) {
	status, text := l.call(http.MethodGet, 0, queuePrefix+id, "")
	used, size := l.used()
	l.mu.Lock()
	j := l.jobs[id]
	l.record.note("GET %s: %d %s; %d tasks done, %d running, %d starts; the pool uses %d of %d thousandths of a core, %d of %d MB",
		id, status, text, len(j.done), j.running, j.starts, used.CPU, size.CPU, used.MemMB, size.MemMB)
	l.mu.Unlock()
}

// judge waits for finish_s and then looks for an accepted job that has nothing running for 3 s although
// the pool has room for it.
func (l *lab) judge(from time.Time) bool {
	for time.Now().Before(from) {
		time.Sleep(2 * time.Second)
		l.report(largeID)
	}
	idle := make(map[string]time.Time)
	broken := false
	for end := time.Now().Add(2 * idleBound); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		broken = l.idleJob(idle) || broken
	}
	for i := range smallJobs {
		l.report(smallJob(i).id)
	}
	l.report(largeID)
	return broken
}

// idleJob reports whether an accepted job other than the large one has had nothing running for 3 s although the pool had twice the
// room for it and was used by less than a half. idle holds since when each job waits so.
func (l *lab) idleJob(idle map[string]time.Time) bool {
	used, size := l.used()
	l.mu.Lock()
	defer l.mu.Unlock()
	broken := false
	for id, j := range l.jobs {
		if id == largeID || id == rackID {
			continue
		}
		free := size.CPU-used.CPU >= 2*j.need.CPU && size.MemMB-used.MemMB >= 2*j.need.MemMB
		waits := !j.acceptedAt.IsZero() && len(j.done) < j.count && j.running == 0
		if !waits || !free || 2*used.CPU >= size.CPU || 2*used.MemMB >= size.MemMB {
			delete(idle, id)
			continue
		}
		if idle[id].IsZero() {
			idle[id] = time.Now()
		}
		if since := time.Since(idle[id]); since >= idleBound && !j.reported {
			broken = true
			j.reported = true
			l.record.note("LOST: job %s, accepted %.1f s ago, has had nothing running for %.1f s; %d of %d tasks are done",
				id, time.Since(j.acceptedAt).Seconds(), since.Seconds(), len(j.done), j.count)
		}
	}
	return broken
}
