package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/intent"
	"lemonstream.dev/lemonstream/operate"
)

// watchPause is the pause between two looks at a plan.
const watchPause = 500 * time.Millisecond

// stoppedError reports a plan that did not end well.
type stoppedError struct {
	plan operate.PlanAnswer
}

// Error implements error.
func (e *stoppedError) Error() string {
	return fmt.Sprintf("plan %s is %s: %s", e.plan.ID, e.plan.State, e.plan.Reason)
}

func newWatchCmd(s *session) *ffcli.Command {
	return &ffcli.Command{
		Name:       "watch",
		ShortUsage: "lemonctl watch PLAN",
		ShortHelp:  "Show a plan's progress until it ends.",
		FlagSet:    flag.NewFlagSet("lemonctl watch", flag.ContinueOnError),
		Exec: func(ctx context.Context, args []string) error {
			client, err := s.clientForOne(args)
			if err != nil {
				return err
			}
			return s.watch(ctx, client, args[0])
		},
	}
}

// watch prints a line for each change until the plan is done, or returns a
// *stoppedError when it ended otherwise.
func (s *session) watch(ctx context.Context, client *operate.Client, id string) error {
	last := ""
	for {
		plan, err := client.Plan(ctx, id)
		if err != nil {
			return err
		}
		line := fmt.Sprintf("%s %s %d of %d %s", plan.ID, plan.State, plan.Done, plan.Total, plan.Reason)
		if line != last && s.output == "table" {
			fmt.Fprintln(s.out, line)
			last = line
		}
		switch plan.State {
		case intent.StateDone:
			return s.printPlan(plan)
		case intent.StateAborted, intent.StateStopped:
			return &stoppedError{
				plan: plan,
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(watchPause):
		}
	}
}
