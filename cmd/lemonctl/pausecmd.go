package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/control"
)

func newPauseCmd(s *session) *ffcli.Command {
	return &ffcli.Command{
		Name:       "pause",
		ShortUsage: "lemonctl pause PLAN",
		ShortHelp:  "Let a plan take out no further instance.",
		FlagSet:    flag.NewFlagSet("lemonctl pause", flag.ContinueOnError),
		Exec: func(ctx context.Context, args []string) error {
			return s.apply(ctx, args, control.VerbPause)
		},
	}
}
