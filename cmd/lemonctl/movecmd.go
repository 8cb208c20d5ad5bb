package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/intent"
)

func newMoveCmd(s *session) *ffcli.Command {
	flags := flag.NewFlagSet("lemonctl move", flag.ContinueOnError)
	to := flags.String("to", "", "pool to move to")
	return &ffcli.Command{
		Name:       "move",
		ShortUsage: "lemonctl move --to POOL (rack|zone|pool|instance) NAME",
		ShortHelp:  "Plan to move instances into another pool.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			scope, name, err := parseScope(args)
			if err != nil {
				return err
			}
			return s.propose(ctx, intent.Intent{
				Kind:  intent.Move,
				Scope: scope,
				Name:  name,
				Pool:  *to,
			})
		},
	}
}
