package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newConfirmCmd(s *session) *ffcli.Command {
	flags := flag.NewFlagSet("lemonctl confirm", flag.ContinueOnError)
	watch := flags.Bool("watch", false, "go on showing progress until the plan ends")
	return &ffcli.Command{
		Name:       "confirm",
		ShortUsage: "lemonctl confirm [--watch] PLAN DIGEST",
		ShortHelp:  "Confirm a plan by its digest; from then on it is carried out.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 2 {
				return flag.ErrHelp
			}
			client, err := s.client()
			if err != nil {
				return err
			}
			plan, err := client.Confirm(ctx, args[0], args[1])
			if err != nil {
				return err
			}
			if *watch {
				return s.watch(ctx, client, plan.ID)
			}
			return s.printPlan(plan)
		},
	}
}
