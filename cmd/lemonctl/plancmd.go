package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newPlanCmd(s *session) *ffcli.Command {
	return &ffcli.Command{
		Name:       "plan",
		ShortUsage: "lemonctl plan PLAN",
		ShortHelp:  "Show a plan whole.",
		FlagSet:    flag.NewFlagSet("lemonctl plan", flag.ContinueOnError),
		Exec: func(ctx context.Context, args []string) error {
			client, err := s.clientForOne(args)
			if err != nil {
				return err
			}
			plan, err := client.Plan(ctx, args[0])
			if err != nil {
				return err
			}
			return s.printPlan(plan)
		},
	}
}
