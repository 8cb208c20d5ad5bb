package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/intent"
)

func newGrowCmd(s *session) *ffcli.Command {
	return &ffcli.Command{
		Name:       "grow",
		ShortUsage: "lemonctl grow POOL COUNT",
		ShortHelp:  "Plan to move instances from other pools into a pool.",
		FlagSet:    flag.NewFlagSet("lemonctl grow", flag.ContinueOnError),
		Exec: func(ctx context.Context, args []string) error {
			pool, count, err := parsePoolCount(args)
			if err != nil {
				return err
			}
			return s.propose(ctx, intent.Intent{
				Kind:  intent.Grow,
				Pool:  pool,
				Count: count,
			})
		},
	}
}
