package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/control"
)

func newResumeCmd(s *session) *ffcli.Command {
	return &ffcli.Command{
		Name:       "resume",
		ShortUsage: "lemonctl resume PLAN",
		ShortHelp:  "Let a paused or stopped plan go on.",
		FlagSet:    flag.NewFlagSet("lemonctl resume", flag.ContinueOnError),
		Exec: func(ctx context.Context, args []string) error {
			return s.apply(ctx, args, control.VerbResume)
		},
	}
}
