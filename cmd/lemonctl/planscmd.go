package main

import (
	"context"
	"flag"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/operate"
)

func newPlansCmd(s *session) *ffcli.Command {
	return &ffcli.Command{
		Name:       "plans",
		ShortUsage: "lemonctl plans",
		ShortHelp:  "List plans with their state.",
		FlagSet:    flag.NewFlagSet("lemonctl plans", flag.ContinueOnError),
		Exec: func(ctx context.Context, _ []string) error {
			client, err := s.client()
			if err != nil {
				return err
			}
			var answers []operate.PlanAnswer
			if err := client.Get(ctx, operate.PathPlans, &answers); err != nil {
				return err
			}
			rows := make([][]string, 0, len(answers))
			for _, a := range answers {
				rows = append(rows, []string{a.ID, a.Intent.String(), a.Intent.Operator, string(a.State), strconv.Itoa(a.Done), strconv.Itoa(a.Total), a.Reason})
			}
			return s.print(answers, []string{"ID", "INTENT", "OPERATOR", "STATE", "DONE", "TOTAL", "REASON"}, rows)
		},
	}
}
