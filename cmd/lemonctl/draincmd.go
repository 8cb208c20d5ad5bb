package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/intent"
)

func newDrainCmd(s *session) *ffcli.Command {
	return &ffcli.Command{
		Name:       "drain",
		ShortUsage: "lemonctl drain (rack|zone|pool|instance) NAME | all",
		ShortHelp:  "Plan to take instances out of service and keep them out.",
		LongHelp:   "Their sessions move at the end of a request; nothing in flight is cut. Nothing changes until you confirm the plan that this command shows.",
		FlagSet:    flag.NewFlagSet("lemonctl drain", flag.ContinueOnError),
		Exec: func(ctx context.Context, args []string) error {
			scope, name, err := parseScope(args)
			if err != nil {
				return err
			}
			return s.propose(ctx, intent.Intent{
				Kind:  intent.Drain,
				Scope: scope,
				Name:  name,
			})
		},
	}
}
