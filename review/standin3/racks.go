package main

import (
	"fmt"
	"time"
)

// Figures of the case of a rack after the other that crashes under one job.
const (
	rackSize   = 4
	rackTasks  = 200
	rackLength = 80 * time.Second
	rackDark   = 6 * time.Second

	// betweenCrashes is the time between the crashes of the two racks, afterCrashes the time after the
	// second one in which the service may recover.
	betweenCrashes = 11 * time.Second
	afterCrashes   = 18 * time.Second

	laterJobs = 10
	rackID    = "6d2f7a21d94b36f8"
)

// laterJob returns the nth job that comes after the crashes: one task of half a second, due at once.
func laterJob(number int, now time.Time) jobSpec {
	return jobSpec{
		id:     fmt.Sprintf("%016x", 0x7000+number),
		prefix: queuePrefix,
		count:  1,
		need: room{
			CPU:   500,
			MemMB: 256,
		},
		length: 500 * time.Millisecond,
		body: fmt.Sprintf(`{"spec":"later","steps":[{"count":1,"cpu":500,"memMb":256,"estimateMs":500}],`+
			`"repeatCount":1,"firstRunMs":%d,"intervalMs":1000}`, now.UnixMilli()),
	}
}

// twoRackCrashes plays the crashes of two racks, one after the other, under a job of long tasks, and asks
// what becomes of jobs that come when both racks are back.
func twoRackCrashes(l *lab) (bool, error) {
	l.store.write("op", "config", []byte(queueConfiguration))
	if err := l.addPool(2*rackSize, room{CPU: 16_000, MemMB: 32_768}); err != nil {
		return false, err
	}
	if err := l.open(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	long := jobSpec{
		id:     rackID,
		prefix: queuePrefix,
		count:  rackTasks,
		need: room{
			CPU:   300,
			MemMB: 64,
		},
		length: rackLength,
		body:   fmt.Sprintf(`{"spec":"long","steps":[{"count":%d,"cpu":300,"memMb":64,"estimateMs":%d}]}`, rackTasks, rackLength.Milliseconds()),
	}
	if !l.handIn(long, 5) {
		return false, fmt.Errorf("the long job was not accepted")
	}
	time.Sleep(3 * time.Second)
	l.report(rackID)
	for rack := range 2 {
		for _, m := range l.machines[rack*rackSize : (rack+1)*rackSize] {
			if l.trouble {
				m.crash(rackDark)
			}
		}
		time.Sleep(betweenCrashes)
		l.report(rackID)
	}
	time.Sleep(afterCrashes - betweenCrashes)
	l.report(rackID)
	for i := range laterJobs {
		l.handIn(laterJob(i, time.Now()), 5)
	}
	for end := time.Now().Add(finish); time.Now().Before(end); time.Sleep(2 * time.Second) {
		l.report(rackID)
	}
	idle := make(map[string]time.Time)
	broken := false
	for end := time.Now().Add(2 * idleBound); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		broken = l.idleJob(idle) || broken
	}
	for i := range laterJobs {
		l.report(laterJob(i, time.Now()).id)
	}
	return broken, nil
}
