package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/intent"
)

func newShrinkCmd(s *session) *ffcli.Command {
	return &ffcli.Command{
		Name:       "shrink",
		ShortUsage: "lemonctl shrink POOL COUNT",
		ShortHelp:  "Plan to move instances of a pool to the spare pool.",
		FlagSet:    flag.NewFlagSet("lemonctl shrink", flag.ContinueOnError),
		Exec: func(ctx context.Context, args []string) error {
			pool, count, err := parsePoolCount(args)
			if err != nil {
				return err
			}
			return s.propose(ctx, intent.Intent{
				Kind:  intent.Shrink,
				Pool:  pool,
				Count: count,
			})
		},
	}
}
