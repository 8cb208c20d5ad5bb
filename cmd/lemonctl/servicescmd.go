package main

import (
	"context"
	"flag"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/operate"
)

func newServicesCmd(s *session) *ffcli.Command {
	return &ffcli.Command{
		Name:       "services",
		ShortUsage: "lemonctl services",
		ShortHelp:  "List services with pool, budget and objective.",
		FlagSet:    flag.NewFlagSet("lemonctl services", flag.ContinueOnError),
		Exec: func(ctx context.Context, _ []string) error {
			client, err := s.client()
			if err != nil {
				return err
			}
			var answers []operate.ServiceAnswer
			if err := client.Get(ctx, operate.PathServices, &answers); err != nil {
				return err
			}
			rows := make([][]string, 0, len(answers))
			for _, a := range answers {
				rows = append(rows, []string{a.Name, a.Pool, strconv.Itoa(a.MinAvailable), strconv.FormatFloat(a.Objective, 'g', 6, 64)})
			}
			return s.print(answers, []string{"NAME", "POOL", "MIN AVAILABLE", "OBJECTIVE"}, rows)
		},
	}
}
