package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case of large jobs that come at once.
const (
	burstJobs   = 14
	burstTasks  = 5_000
	burstLength = 5 * time.Second

	// burstTime is how long the jobs are watched, burstPatience how long one that comes alone is.
	burstTime     = 60 * time.Second
	burstPatience = 12 * time.Second

	// faultKills and faultEntries are from when on kills for too much memory are a fault.
	faultKills   = 3
	faultEntries = 2
)

// burstJob returns the nth large job. All of them together fit into the pool.
func burstJob(number int) jobSpec {
	return jobSpec{
		id:     fmt.Sprintf("%016x", 0x5000+number),
		prefix: queuePrefix,
		count:  burstTasks,
		need: room{
			CPU:   2,
			MemMB: 5,
		},
		length: burstLength,
		body: fmt.Sprintf(`{"spec":"large","steps":[{"count":%d,"cpu":2,"memMb":5,"estimateMs":%d}]}`,
			burstTasks, burstLength.Milliseconds()),
	}
}

// largeJobsAtOnce plays large jobs that come at once, on entries whose memory is limited. Without trouble
// each comes when the one before has ended.
func largeJobsAtOnce(l *lab) (bool, error) {
	l.store.write("op", "config", []byte(queueConfiguration))
	if err := l.addPool(poolSize, room{CPU: 16_000, MemMB: 32_768}); err != nil {
		return false, err
	}
	if err := l.open(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	watch := newMemoryWatch(l)
	done := make(chan struct{})
	l.group.Go(func() { watch.run(done) })
	defer close(done)
	var all sync.WaitGroup
	for i := range burstJobs {
		if l.trouble {
			all.Go(func() { l.handIn(burstJob(i), 20) })
			continue
		}
		l.handIn(burstJob(i), 5)
		l.awaitEnd(burstJob(i).id, burstPatience)
	}
	all.Wait()
	for end := time.Now().Add(burstTime); l.trouble && time.Now().Before(end) && !watch.isFault(); {
		time.Sleep(2 * time.Second)
	}
	for i := range burstJobs {
		l.report(burstJob(i).id)
	}
	l.record.note("the most memory of an entry: %d MB; kills of the entries: %v", watch.most(), watch.counts())
	return watch.isFault(), nil
}

// awaitEnd waits until a job is shown as completed, at most for the given time.
func (l *lab) awaitEnd(id string, most time.Duration) {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if _, text := l.call(http.MethodGet, 0, queuePrefix+id, ""); strings.Contains(text, "completed") {
			l.record.note("GET %s: %s", id, text)
			return
		}
	}
}
