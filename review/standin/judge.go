package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
)

// seenRun is one run of a work unit as the record tells of it.
type seenRun struct {
	worker string
	run    string
	at     string
	how    string
	noted  bool
}

// judgement reads a record from its first line to its last.
type judgement struct {
	runs     map[string][]*seenRun
	machines map[string]string
	faults   []string
}

// judge reads a record and ends with status 1 if a work unit ran twice, as the rule TWICE has it: on
// two workers that are up at one time, or after a run ended done and the end was taken note of.
func judge(path string) {
	file, err := os.Open(path)
	if err != nil {
		fail(err.Error())
	}
	defer func() { _ = file.Close() }()
	j := &judgement{
		runs:     make(map[string][]*seenRun),
		machines: make(map[string]string),
	}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		j.read(strings.Fields(lines.Text()))
	}
	if lines.Err() != nil {
		fail(lines.Err().Error())
	}
	if len(j.runs) == 0 {
		fail("no work unit was started")
	}
	for _, fault := range j.faults {
		_, _ = fmt.Println("TWICE:", fault)
	}
	if len(j.faults) > 0 {
		os.Exit(1)
	}
	_, _ = fmt.Println("TWICE holds")
}

// read takes in one line: TIME worker ID WHAT TASK run N ..., or TIME killed MACHINE.
func (j *judgement) read(words []string) {
	if len(words) >= 3 && words[1] == "killed" {
		j.end(j.machines[words[2]])
	}
	if len(words) < 4 || words[1] != "worker" {
		return
	}
	switch {
	case len(words) >= 7 && words[3] == "begins":
		j.machines[words[6]] = words[2]
	case words[3] == "ends":
		j.end(words[2])
	case len(words) >= 7 && words[3] == "start":
		j.start(words[0], words[2], words[4], words[6])
	case len(words) >= 8 && words[3] == "end" && words[4] == "of":
		if r := j.find(words[2], words[5], words[7]); r != nil {
			r.noted = true
		}
	case len(words) >= 8 && words[3] == "end":
		if r := j.find(words[2], words[4], words[6]); r != nil {
			r.how = words[7]
		}
	}
}

// start judges a start by the runs before it.
func (j *judgement) start(at, worker, task, run string) {
	for _, before := range j.runs[task] {
		if before.how == "" {
			j.faults = append(j.faults, fmt.Sprintf("%s starts at %s as run %s on %s while run %s runs on %s", task, at, run, worker, before.run, before.worker))
		}
		if before.how == "done" && before.noted {
			j.faults = append(j.faults, fmt.Sprintf("%s starts at %s as run %s on %s after run %s on %s ended done and its end was taken note of",
				task, at, run, worker, before.run, before.worker))
		}
	}
	j.runs[task] = append(j.runs[task], &seenRun{
		worker: worker,
		run:    run,
		at:     at,
	})
}

func (j *judgement) find(worker, task, run string) *seenRun {
	for _, r := range j.runs[task] {
		if r.worker == worker && r.run == run {
			return r
		}
	}
	return nil
}

// end ends all that runs on a worker whose life has ended.
func (j *judgement) end(worker string) {
	for _, runs := range j.runs {
		for _, r := range runs {
			if r.worker == worker && r.how == "" {
				r.how = "gone"
			}
		}
	}
}
