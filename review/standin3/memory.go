package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMb is limits.memoryMb of the small installations: a process that goes over it is killed.
	memoryMb = 284

	// memoryLook is how often the memory of the entries is looked at.
	memoryLook = 50 * time.Millisecond
)

// memoryWatch kills entries whose memory is over the limit, as the platform does, and counts that.
type memoryWatch struct {
	lab *lab

	// mu guards kills, which counts the processes of each entry that were killed, and peak, the most
	// memory that any had.
	mu    sync.Mutex
	kills []int
	peak  int
}

func newMemoryWatch(l *lab) *memoryWatch {
	return &memoryWatch{
		lab:   l,
		kills: make([]int, l.entries),
	}
}

// run looks at the memory of all entries until done is closed.
func (w *memoryWatch) run(done <-chan struct{}) {
	killed := make(map[int]bool)
	for {
		select {
		case <-done:
			return
		case <-time.After(memoryLook):
		}
		for entry := range w.lab.entries {
			pid := w.lab.pid(entry)
			if used := residentMb(pid); w.isOver(used) && !killed[pid] {
				killed[pid] = true
				w.kill(entry, pid, used)
			}
		}
	}
}

func (w *memoryWatch) isOver(used int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peak = max(w.peak, used)
	return used > memoryMb
}

func (w *memoryWatch) kill(entry, pid, used int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kills[entry]++
	w.lab.record.note("entry %d has %d MB, the limit is %d: killed, number %d", entry, used, memoryMb, w.kills[entry])
	if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
		w.lab.record.note("entry %d: %v", entry, err)
	}
}

// isFault reports whether enough entries were killed often enough.
func (w *memoryWatch) isFault() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	often := 0
	for _, count := range w.kills {
		if count >= faultKills {
			often++
		}
	}
	return often >= faultEntries
}

func (w *memoryWatch) most() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak
}

func (w *memoryWatch) counts() []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.kills)
}

// pid returns the id of an entry's process, 0 if there is none.
func (l *lab) pid(entry int) int {
	body, err := os.ReadFile(filepath.Join(l.dir, fmt.Sprintf("pid-%d", entry)))
	if err != nil {
		return 0
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(body)))
	if err != nil {
		return 0
	}
	return pid
}

// residentMb returns the resident memory of a process, 0 if there is none.
func residentMb(pid int) int {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 2 || fields[0] != "VmRSS:" {
			continue
		}
		if kb, err := strconv.Atoi(fields[1]); err == nil {
			return kb >> 10
		}
	}
	return 0
}
