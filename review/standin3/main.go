// Command standin3 stands in for the platform, the workers and the callers of the cases of the third
// review. It follows the users' published protocol, plays one case and writes what it saw to a record.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*lab) (bool, error){
	"large-job-never-done": largeJobNeverDone,
	"large-jobs-at-once":   largeJobsAtOnce,
	"two-rack-crashes":     twoRackCrashes,
	"timed-job-lost-kind":  timedJobWithoutKind,
}

func main() {
	name := flag.String("case", "", "the case to play")
	dir := flag.String("dir", "", "folder for settings and the ids of processes")
	record := flag.String("record", "record.txt", "file that takes what was seen")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	port := flag.Int("port", 0, "the first port of the entries")
	flag.Parse()
	play, found := cases[*name]
	if !found {
		names := make([]string, 0, len(cases))
		for known := range cases {
			names = append(names, known)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "unknown case; there are", names)
		os.Exit(exitNotRun)
	}
	os.Exit(playCase(play, *dir, *record, *trouble, *port))
}

// playCase plays a case and returns the exit code.
func playCase(play func(*lab) (bool, error), dir, path string, trouble bool, port int) int {
	file, err := os.Create(filepath.Clean(path))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	l := newLab(dir, &record{
		began: time.Now(),
		file:  file,
	}, trouble, port)
	broken, err := play(l)
	switch {
	case err != nil:
		l.record.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		l.record.note("verdict: the rule was broken")
		return exitBroken
	default:
		l.record.note("verdict: the rule held")
		return exitHeld
	}
}
