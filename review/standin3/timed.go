package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Figures of the case of a timed job whose second step needs a kind of worker that is lost.
const (
	timedPool   = 8
	timedTimes  = 3_000
	timedLength = 50 * time.Millisecond
	timedID     = "4b1e7a21d94b36f8"
	rareKind    = "b"

	// timedSettle is how long the job is left alone, timedPatience how long its end is awaited where
	// nothing is disturbed.
	timedSettle   = 10 * time.Second
	timedPatience = 60 * time.Second
)

// timedJob returns a job of two steps that runs once a second, the first time 3,000 s ago, as one that
// is handed in again after a long outage does. Its second step needs a worker of the rare kind.
func timedJob(now time.Time) jobSpec {
	first := now.Add(-timedTimes * time.Second)
	return jobSpec{
		id:     timedID,
		prefix: queuePrefix,
		count:  2 * timedTimes,
		need: room{
			CPU:   100,
			MemMB: 64,
		},
		length: timedLength,
		body: fmt.Sprintf(`{"spec":"timed","steps":[{"count":1,"cpu":100,"memMb":64,"estimateMs":50},`+
			`{"count":1,"cpu":100,"memMb":64,"estimateMs":50,"sinceRev":[0],"requires":%q}],`+
			`"repeatCount":%d,"firstRunMs":%d,"intervalMs":1000}`, rareKind, timedTimes, first.UnixMilli()),
	}
}

// timedJobWithoutKind plays the loss of the only worker of a kind under a timed job, and asks whether the
// first steps of its due times run, which need no such worker.
func timedJobWithoutKind(l *lab) (bool, error) {
	l.store.write("op", "config", []byte(queueConfiguration))
	if err := l.addPool(timedPool-1, room{CPU: 16_000, MemMB: 32_768}); err != nil {
		return false, err
	}
	if err := l.addKind(rareKind, room{CPU: 16_000, MemMB: 32_768}); err != nil {
		return false, err
	}
	if err := l.open(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if l.trouble {
		l.machines[timedPool-1].loseForGood()
	}
	time.Sleep(timedSettle)
	if !l.handIn(timedJob(time.Now()), 5) {
		return false, fmt.Errorf("the job was not accepted")
	}
	if !l.trouble {
		l.awaitEnd(timedID, timedPatience)
	}
	for end := time.Now().Add(finish); time.Now().Before(end); time.Sleep(2 * time.Second) {
		l.reportTimed()
	}
	return l.judgeTimed(), nil
}

// judgeTimed reports whether the timed job has nothing running for 3 s, although first steps of due times
// have not run and the pool has room for them.
func (l *lab) judgeTimed() bool {
	since := time.Now()
	for end := time.Now().Add(2 * idleBound); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		used, size := l.used()
		l.mu.Lock()
		j := l.jobs[timedID]
		waits := l.firstSteps() < timedTimes && j.running == 0
		free := 2*used.CPU < size.CPU && 2*used.MemMB < size.MemMB
		l.mu.Unlock()
		if !waits || !free {
			since = time.Now()
		}
		if time.Since(since) >= idleBound {
			l.reportTimed()
			l.record.note("LOST: job %s has had nothing running for %.1f s", timedID, time.Since(since).Seconds())
			return true
		}
	}
	l.reportTimed()
	return false
}

// firstSteps returns of how many times the first step has ended. The caller holds mu.
func (l *lab) firstSteps() int {
	count := 0
	for task := range l.jobs[timedID].done {
		if strings.HasSuffix(task, ".0.0") {
			count++
		}
	}
	return count
}

// reportTimed notes what became of the timed job so far.
func (l *lab) reportTimed() {
	status, text := l.call(http.MethodGet, 0, queuePrefix+timedID, "")
	used, size := l.used()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.note("GET %s: %d %s; the first step has ended of %d of %d due times, %d tasks run; the pool uses %d of %d thousandths of a core",
		timedID, status, text, l.firstSteps(), timedTimes, l.jobs[timedID].running, used.CPU, size.CPU)
}
