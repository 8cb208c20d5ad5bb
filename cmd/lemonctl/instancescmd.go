package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/operate"
)

func newInstancesCmd(s *session) *ffcli.Command {
	return &ffcli.Command{
		Name:       "instances",
		ShortUsage: "lemonctl instances",
		ShortHelp:  "List instances with their pool, phase and plan.",
		FlagSet:    flag.NewFlagSet("lemonctl instances", flag.ContinueOnError),
		Exec: func(ctx context.Context, _ []string) error {
			client, err := s.client()
			if err != nil {
				return err
			}
			var answers []operate.InstanceAnswer
			if err := client.Get(ctx, operate.PathInstances, &answers); err != nil {
				return err
			}
			rows := make([][]string, 0, len(answers))
			for _, a := range answers {
				rows = append(rows, []string{a.ID, a.Pool, a.Rack, a.Zone, a.Address, a.Phase, a.Plan, a.Listed})
			}
			return s.print(answers, []string{"ID", "POOL", "RACK", "ZONE", "ADDRESS", "PHASE", "PLAN", "LISTED"}, rows)
		},
	}
}
