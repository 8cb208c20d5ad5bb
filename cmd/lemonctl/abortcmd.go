package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/control"
)

func newAbortCmd(s *session) *ffcli.Command {
	return &ffcli.Command{
		Name:       "abort",
		ShortUsage: "lemonctl abort PLAN",
		ShortHelp:  "Give a plan up; instances that it took out are readmitted.",
		FlagSet:    flag.NewFlagSet("lemonctl abort", flag.ContinueOnError),
		Exec: func(ctx context.Context, args []string) error {
			return s.apply(ctx, args, control.VerbAbort)
		},
	}
}
