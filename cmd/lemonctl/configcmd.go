package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/operate"
)

func newConfigCmd(s *session) *ffcli.Command {
	return &ffcli.Command{
		Name:       "config",
		ShortUsage: "lemonctl config",
		ShortHelp:  "Print the configuration in force.",
		FlagSet:    flag.NewFlagSet("lemonctl config", flag.ContinueOnError),
		Exec: func(ctx context.Context, _ []string) error {
			client, err := s.client()
			if err != nil {
				return err
			}
			var answer operate.ConfigAnswer
			if err := client.Get(ctx, operate.PathConfig, &answer); err != nil {
				return err
			}
			if s.output == "json" {
				return s.print(answer, nil, nil)
			}
			fmt.Fprintf(s.out, "; version %d, accepted %s\n%s", answer.Version, answer.Accepted.UTC(), answer.Body)
			return nil
		},
	}
}
