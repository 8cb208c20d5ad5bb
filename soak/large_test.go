package soak_test

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"lemonstream.dev/lemonstream/internal/standin"
)

const (
	// maxEntryMB is the least memory of an entry's machine, in megabytes.
	maxEntryMB = 160

	// maxRowBytes is the most bytes of a row that the platform takes.
	maxRowBytes = 65_536

	// lookPause is the time between two looks at the memory of the entries and at the rows.
	lookPause = 100 * time.Millisecond

	// largePause is the longest time between two large jobs.
	largePause = 4 * time.Second
)

// largeSteps are the steps of large jobs; a chain of steps comes in addition. No step allows copies, which
// the oracle does not tell from a task that runs twice.
var largeSteps = []string{
	`{"count":100,"cpu":250,"memMb":5,"estimateMs":200}`,
	`{"count":3,"cpu":250,"memMb":5,"estimateMs":200}`,
	`{"count":4,"cpu":250,"memMb":5,"estimateMs":200,"gang":true}`,
	`{"count":10000,"cpu":250,"memMb":5,"estimateMs":200},{"count":10000,"cpu":250,"memMb":5,"estimateMs":200,"sinceRev":[0]}`,
	`{"count":20000,"cpu":250,"memMb":5,"estimateMs":200,"gang":true}`,
}

// TestLargeJobsBesideReplacedOwners hands in jobs of up to a million tasks and more beside the run of
// TestNextOwnerStartsNoTaskAgain. From outside: no entry takes more than the least memory of a machine, no row of
// progress more than the platform takes, and all small jobs are completed while the large ones go on.
func TestLargeJobsBesideReplacedOwners(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed int64) {
		replaceOwners(t, seed, ordinaryRun, func(s *series, random *rand.Rand) func() {
			watched := make(chan struct{})
			over, cancel := context.WithCancel(context.Background())
			s.group.Go("watch", func(context.Context) error {
				defer close(watched)
				for over.Err() == nil {
					s.checkSizes()
					time.Sleep(lookPause)
				}
				return nil
			})
			var accepted []string
			for end, number := time.Now().Add(brokenFor/2), 0; time.Now().Before(end); number++ {
				path := fmt.Sprintf("/%s/%016x", servicesWithWork[random.Intn(len(servicesWithWork))], seed<<32|0xffff<<16|int64(number))
				if s.handInLarge(path, largeJob(random)) {
					accepted = append(accepted, path)
				}
				upTo(random, largePause)
			}
			return func() {
				for _, path := range accepted {
					s.any(http.MethodDelete, path, "", func(status int, _ string) bool {
						return status == http.StatusOK || status == http.StatusGone
					})
				}
				cancel()
				<-watched
				t.Logf("seed %d: %d large jobs, %d MB at most", seed, len(accepted), s.mostMB)
			}
		})
	})
}

// largeJob returns the body of a large job.
func largeJob(random *rand.Rand) string {
	steps := chainOfSteps()
	if shape := random.Intn(len(largeSteps) + 1); shape < len(largeSteps) {
		steps = largeSteps[shape]
	}
	const once = `{"spec":"200ms","steps":[%s]}`
	const repeats = `{"spec":"200ms","repeatCount":10000,"firstRunMs":%d,"intervalMs":%d,"steps":[%s]}`
	switch random.Intn(4) {
	case 0:
		return fmt.Sprintf(once, steps)
	case 3:
		// Thousands of tasks that run at a time, and all fail.
		return fmt.Sprintf(`{"spec":"%s","steps":[{"count":%d,"cpu":1,"estimateMs":200}]}`, standin.FailingText, 1000+random.Intn(5000))
	case 1:
		// Occurrences come faster than they end.
		return fmt.Sprintf(repeats, time.Now().UnixMilli(), 1+random.Intn(100), steps)
	default:
		return fmt.Sprintf(repeats, time.Now().Add(-10_000*time.Second).UnixMilli(), 1000, steps)
	}
}

// chainOfSteps returns steps of one task each, of which each waits for the one before.
func chainOfSteps() string {
	steps := []string{`{"count":1,"cpu":250,"memMb":5,"estimateMs":200}`}
	for i := 1; i < 256; i++ {
		steps = append(steps, fmt.Sprintf(`{"count":1,"cpu":250,"memMb":5,"estimateMs":200,"sinceRev":[%d]}`, i-1))
	}
	return strings.Join(steps, ",")
}

// handInLarge hands in a job until an answer says whether it is accepted.
func (s *series) handInLarge(path, body string) bool {
	for i, end := 0, time.Now().Add(patience); time.Now().Before(end); i++ {
		switch status, _ := call(http.MethodPost, s.entries[i%len(s.entries)].front, path, body); status {
		case http.StatusOK:
			return true
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.fault("%s: no answer says whether it is taken", path)
	return false
}

// checkSizes notes entries with too much memory and rows that are too large.
func (s *series) checkSizes() {
	s.mu.Lock()
	var processes []int
	for _, e := range s.entries {
		processes = append(processes, e.command.Process.Pid)
	}
	s.mu.Unlock()
	for _, pid := range processes {
		used := residentMB(pid)
		s.mostMB = max(s.mostMB, used)
		if used > maxEntryMB {
			s.fault("process %d has %d MB", pid, used)
		}
	}
	if size := s.rows.LargestRow("progress"); size > maxRowBytes {
		s.fault("a row of progress has %d bytes", size)
	}
}

// residentMB returns the memory of a process in megabytes, 0 if it has ended.
func residentMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		var kilobytes int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); n == 1 {
			return kilobytes / 1024
		}
	}
	return 0
}
