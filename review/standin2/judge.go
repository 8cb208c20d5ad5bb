package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// watched is for how long jobs are watched that have nothing running, as rule LOST says.
	watched = 3 * time.Second

	// unreadShare is the part of the ends, one in so many, that may not be taken note of.
	unreadShare = 5

	// lookPause is the time between two looks at the states of all jobs.
	lookPause = 200 * time.Millisecond

	// askers is how many clients ask for states at a time.
	askers = 16
)

// span is when a run was at work; until is zero where it has not ended.
type span struct {
	from  int64
	until int64
	cpu   int
}

// verdict is what the records show.
type verdict struct {
	Accepted    int            `json:"accepted"`
	NotAccepted int            `json:"not_accepted"`
	States      map[string]int `json:"states"`

	// Idle are accepted jobs that aren't shown as ended, have a work unit that has not ended well, and of which
	// nothing ran in the watched time.
	Idle []string `json:"idle"`

	// Unknown are accepted jobs that were answered with 410, Unanswered those without an answer.
	Unknown    []string `json:"unknown"`
	Unanswered []string `json:"unanswered"`

	// MostCPU is the most that was in use in the watched time, of Capacity.
	MostCPU  int `json:"most_cpu"`
	Capacity int `json:"capacity"`

	// Unread counts the ends that workers which are up list and that weren't taken note of when the
	// watched time began; Ends counts all ends.
	Unread int `json:"ends_unread"`
	Ends   int `json:"ends"`
}

// judge asks for all accepted jobs, and tells by the workers' records which of them have nothing running.
func (c *clients) judge(pattern string, capacity int) (int, error) {
	from := time.Now().UnixMilli()
	states := c.askAll()
	for time.Now().UnixMilli() < from+watched.Milliseconds() {
		time.Sleep(lookPause)
	}
	until := time.Now().UnixMilli()
	again := c.askAll()
	events, err := readEvents(pattern)
	if err != nil {
		return codeNotRun, err
	}
	spans := spansOf(events)
	v := verdict{
		Accepted:    len(c.accepted),
		NotAccepted: len(c.refused),
		States:      make(map[string]int),
		MostCPU:     mostCPU(spans, from, until),
		Capacity:    capacity,
	}
	v.Unread, v.Ends = unreadEnds(events, from)
	done := doneUnits(events)
	for id := range c.accepted {
		last := again[id]
		v.States[last]++
		switch {
		case states[id] == "410" || last == "410":
			v.Unknown = append(v.Unknown, id)
		case states[id] == "" || last == "":
			v.Unanswered = append(v.Unanswered, id)
		case (last == "queued" || last == "running") && done[id] < c.units[id] && !ranIn(spans, id, from, until):
			v.Idle = append(v.Idle, id)
		}
	}
	sort.Strings(v.Idle)
	c.note(v)
	roomLeft := 2*v.MostCPU < v.Capacity
	fmt.Printf("accepted=%d not_accepted=%d states=%v idle=%d unknown=%d unanswered=%d most_cpu=%d capacity=%d ends_unread=%d ends=%d\n",
		v.Accepted, v.NotAccepted, v.States, len(v.Idle), len(v.Unknown), len(v.Unanswered), v.MostCPU, v.Capacity, v.Unread, v.Ends)
	if v.Accepted == 0 {
		return codeNotRun, fmt.Errorf("no job was accepted")
	}
	if unreadShare*v.Unread > v.Ends {
		return codeBroken, nil
	}
	if (len(v.Idle) > 0 && roomLeft) || len(v.Unknown) > 0 || len(v.Unanswered) > 0 {
		return codeBroken, nil
	}
	return codeHeld, nil
}

// askAll asks for the states of all accepted jobs.
func (c *clients) askAll() map[string]string {
	ids := make(chan string)
	var mu sync.Mutex
	states := make(map[string]string)
	var all sync.WaitGroup
	for range askers {
		all.Go(func() {
			for id := range ids {
				state := c.state(id)
				mu.Lock()
				states[id] = state
				mu.Unlock()
			}
		})
	}
	for id := range c.accepted {
		ids <- id
	}
	close(ids)
	all.Wait()
	return states
}

// readEvents reads the records of all workers, each in its order.
func readEvents(pattern string) ([]event, error) {
	files, err := filepath.Glob(pattern)
	if err != nil {
		return nil, err
	}
	var events []event
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			var one event
			if json.Unmarshal(lines.Bytes(), &one) == nil {
				one.Machine = filepath.Base(name)
				events = append(events, one)
			}
		}
		if err := file.Close(); err != nil {
			return nil, err
		}
	}
	return events, nil
}

// lifeEnds returns when the lives of workers ended that have ended. A life ends where the record of its
// machine says that it was killed, or that the next one began.
func lifeEnds(events []event) map[string]int64 {
	ends := make(map[string]int64)
	last := make(map[string]string)
	for _, one := range events {
		if one.What != "begun" && one.What != "killed" {
			continue
		}
		if life := last[one.Machine]; life != "" {
			ends[life] = one.AtMs
		}
		last[one.Machine] = one.Worker
	}
	return ends
}

// spansOf returns when runs were at work, by work unit. A run that has no end ended with its worker.
func spansOf(events []event) map[string][]span {
	ended := lifeEnds(events)
	spans := make(map[string][]span)
	at := make(map[string]int)
	for _, one := range events {
		key := fmt.Sprintf("%s/%s/%d", one.Worker, one.Task, one.Run)
		switch one.What {
		case "start":
			at[key] = len(spans[one.Task])
			spans[one.Task] = append(spans[one.Task], span{
				from:  one.AtMs,
				until: ended[one.Worker],
				cpu:   one.CPU,
			})
		case "end":
			spans[one.Task][at[key]].until = one.AtMs
		}
	}
	return spans
}

// overlaps reports whether a run was at work at any moment of a time.
func (s span) overlaps(from, until int64) bool {
	return s.from < until && (s.until == 0 || s.until > from)
}

// ranIn reports whether anything of a job was at work in a time.
func ranIn(spans map[string][]span, id string, from, until int64) bool {
	for task, list := range spans {
		if !strings.HasPrefix(task, id+".") {
			continue
		}
		for _, one := range list {
			if one.overlaps(from, until) {
				return true
			}
		}
	}
	return false
}

// doneUnits counts the work units of each job that have ended well.
func doneUnits(events []event) map[string]int {
	counted := make(map[string]bool)
	done := make(map[string]int)
	for _, one := range events {
		if one.What == "end" && one.How == "done" && !counted[one.Task] {
			counted[one.Task] = true
			id, _, _ := strings.Cut(one.Task, ".")
			done[id]++
		}
	}
	return done
}

// mostCPU returns an upper bound of what was in use at one moment of a time.
func mostCPU(spans map[string][]span, from, until int64) int {
	sum := 0
	for _, list := range spans {
		for _, one := range list {
			if one.overlaps(from, until) {
				sum += one.cpu
			}
		}
	}
	return sum
}

// unreadEnds counts the ends before a moment of workers that live, and those not taken note of by then.
func unreadEnds(events []event, before int64) (unread, all int) {
	ended := lifeEnds(events)
	listed := make(map[string]int64)
	seen := make(map[string]int64)
	for _, one := range events {
		if one.AtMs >= before || ended[one.Worker] != 0 {
			continue
		}
		switch one.What {
		case "end":
			listed[one.Worker] = max(listed[one.Worker], one.Number)
		case "seen":
			seen[one.Worker] = max(seen[one.Worker], one.Number)
		}
	}
	for id, number := range listed {
		all += int(number)
		unread += int(number - seen[id])
	}
	return unread, all
}
