package main

import (
	"context"
	"flag"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/operate"
)

func newPoolsCmd(s *session) *ffcli.Command {
	return &ffcli.Command{
		Name:       "pools",
		ShortUsage: "lemonctl pools",
		ShortHelp:  "List pools with what their budgets leave free.",
		FlagSet:    flag.NewFlagSet("lemonctl pools", flag.ContinueOnError),
		Exec: func(ctx context.Context, _ []string) error {
			client, err := s.client()
			if err != nil {
				return err
			}
			var answers []operate.PoolAnswer
			if err := client.Get(ctx, operate.PathPools, &answers); err != nil {
				return err
			}
			rows := make([][]string, 0, len(answers))
			for _, a := range answers {
				rows = append(rows, []string{a.Name, strconv.Itoa(a.Instances), strconv.Itoa(a.Available), strconv.Itoa(a.Least), strconv.Itoa(a.Reserve), strconv.Itoa(a.Free)})
			}
			return s.print(answers, []string{"NAME", "INSTANCES", "AVAILABLE", "LEAST", "RESERVE", "FREE"}, rows)
		},
	}
}
