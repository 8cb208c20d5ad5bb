package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newCancelCmd(s *session) *ffcli.Command {
	flags := flag.NewFlagSet("lemonctl cancel", flag.ContinueOnError)
	pool := flags.String("pool", "", "pool of the jobs")
	all := flags.Bool("all", false, "cancel every job of the pool")
	return &ffcli.Command{
		Name:       "cancel",
		ShortUsage: "lemonctl cancel --pool POOL (--all | ID ...)",
		ShortHelp:  "Cancel jobs: waiting ones end at once, running ones are stopped.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if *pool == "" || *all == (len(args) > 0) {
				return flag.ErrHelp
			}
			client, err := s.client()
			if err != nil {
				return err
			}
			count, err := client.CancelJobs(ctx, *pool, args)
			if err != nil {
				return err
			}
			fmt.Fprintf(s.out, "cancelled %d jobs\n", count)
			return nil
		},
	}
}
