package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/config"
	"lemonstream.dev/lemonstream/intent"
)

func newRolloutCmd(s *session) *ffcli.Command {
	return &ffcli.Command{
		Name:       "rollout",
		ShortUsage: "lemonctl rollout FILE",
		ShortHelp:  "Plan to put a configuration in force.",
		LongHelp:   "The file is checked whole first; a file with any fault is refused and nothing of it applies.",
		FlagSet:    flag.NewFlagSet("lemonctl rollout", flag.ContinueOnError),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			body, err := os.ReadFile(args[0])
			if err != nil {
				return fmt.Errorf("reading configuration: %w", err)
			}
			if _, err := config.Parse(args[0], body, 1); err != nil {
				return err
			}
			return s.propose(ctx, intent.Intent{
				Kind:   intent.Rollout,
				Config: string(body),
			})
		},
	}
}
