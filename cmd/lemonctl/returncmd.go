package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/intent"
)

func newReturnCmd(s *session) *ffcli.Command {
	return &ffcli.Command{
		Name:       "return",
		ShortUsage: "lemonctl return (rack|zone|pool|instance) NAME | all",
		ShortHelp:  "Plan to put drained instances back in service.",
		LongHelp:   "An instance is readmitted once it takes connections. Nothing changes until you confirm the plan that this command shows.",
		FlagSet:    flag.NewFlagSet("lemonctl return", flag.ContinueOnError),
		Exec: func(ctx context.Context, args []string) error {
			scope, name, err := parseScope(args)
			if err != nil {
				return err
			}
			return s.propose(ctx, intent.Intent{
				Kind:  intent.Return,
				Scope: scope,
				Name:  name,
			})
		},
	}
}
