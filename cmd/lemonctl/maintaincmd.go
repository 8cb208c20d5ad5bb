package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/intent"
)

func newMaintainCmd(s *session) *ffcli.Command {
	return &ffcli.Command{
		Name:       "maintain",
		ShortUsage: "lemonctl maintain (rack|zone|pool|instance) NAME | all",
		ShortHelp:  "Plan to drain, reboot and readmit instances in waves.",
		LongHelp:   "Waves start small, grow while all is well, and stop when instances do not come back. Nothing changes until you confirm the plan that this command shows.",
		FlagSet:    flag.NewFlagSet("lemonctl maintain", flag.ContinueOnError),
		Exec: func(ctx context.Context, args []string) error {
			scope, name, err := parseScope(args)
			if err != nil {
				return err
			}
			return s.propose(ctx, intent.Intent{
				Kind:  intent.Maintain,
				Scope: scope,
				Name:  name,
			})
		},
	}
}
