// Command lemonctl is the operators' client.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/operate"
)

// Exit codes.
const (
	exitFailed  = 1
	exitUsage   = 2
	exitRefused = 3
	exitStale   = 4
	exitNoEntry = 5
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := newRootCmd(newSession(os.Stdout)).ParseAndRun(ctx, os.Args[1:])
	if err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(os.Stderr, "lemonctl:", err)
		}
		os.Exit(exitCode(err))
	}
}

// exitCode maps an error to the exit code that scripts can rely on.
func exitCode(err error) int {
	var problem *operate.ProblemError
	var noEntry *operate.NoEntryError
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	case errors.As(err, &noEntry):
		return exitNoEntry
	case errors.As(err, &problem):
		return problemCode(problem.Problem.Code)
	default:
		return exitFailed
	}
}

func newRootCmd(s *session) *ffcli.Command {
	flags := flag.NewFlagSet("lemonctl", flag.ContinueOnError)
	s.flags(flags)
	return &ffcli.Command{
		Name:       "lemonctl",
		ShortUsage: "lemonctl [flags] COMMAND",
		ShortHelp:  "State an intent, see its plan, confirm it, watch it.",
		LongHelp:   "Flags may also stand in the environment, such as LEMONCTL_ENTRIES.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix("LEMONCTL")},
		Subcommands: []*ffcli.Command{
			newAbortCmd(s),
			newCancelCmd(s),
			newCompletionCmd(s),
			newConfigCmd(s),
			newConfirmCmd(s),
			newDrainCmd(s),
			newGrowCmd(s),
			newInstancesCmd(s),
			newJobsCmd(s),
			newKeysCmd(s),
			newMaintainCmd(s),
			newMembersCmd(s),
			newMoveCmd(s),
			newPauseCmd(s),
			newPlanCmd(s),
			newPlansCmd(s),
			newPoolsCmd(s),
			newReportCmd(s),
			newResumeCmd(s),
			newReturnCmd(s),
			newRolloutCmd(s),
			newServicesCmd(s),
			newShrinkCmd(s),
			newSubmitCmd(s),
			newWatchCmd(s),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func problemCode(code string) int {
	switch code {
	case operate.CodeChanged, operate.CodeConflict, operate.CodeDigest, operate.CodeRaced:
		return exitStale
	case operate.CodeBudget, operate.CodeInvalid, operate.CodeNoPlan, operate.CodeState:
		return exitRefused
	default:
		return exitFailed
	}
}
