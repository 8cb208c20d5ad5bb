package main

import (
	"flag"
	"strconv"
	"syscall"
	"time"
)

// allowancePeriod is the time in which a machine has its share of a core.
const allowancePeriod = 100 * time.Millisecond

// runAllowance lets processes run for a share of each tenth of a second, as the platform does where the share
// of a core is an allowance. A process has its share whether it uses it or not, on all cores. It ends after the
// given time, and leaves the processes running.
func runAllowance(args []string) (int, error) {
	flags := flag.NewFlagSet("allowance", flag.ContinueOnError)
	share := flags.Float64("share", 0.4, "share of a core")
	span := flags.Duration("for", time.Minute, "for how long")
	if err := flags.Parse(args); err != nil {
		return codeNotRun, err
	}
	pids := make([]int, 0, flags.NArg())
	for _, arg := range flags.Args() {
		pid, err := strconv.Atoi(arg)
		if err != nil {
			return codeNotRun, err
		}
		pids = append(pids, pid)
	}
	runs := time.Duration(*share * float64(allowancePeriod))
	for began := time.Now(); time.Since(began) < *span; {
		signalAll(pids, syscall.SIGCONT)
		time.Sleep(runs)
		signalAll(pids, syscall.SIGSTOP)
		time.Sleep(allowancePeriod - runs)
	}
	signalAll(pids, syscall.SIGCONT)
	return codeHeld, nil
}

// signalAll signals processes; one that has ended gets none.
func signalAll(pids []int, signal syscall.Signal) {
	for _, pid := range pids {
		if err := syscall.Kill(pid, signal); err != nil {
			continue
		}
	}
}
