package main

import (
	"context"
	"flag"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/operate"
)

func newMembersCmd(s *session) *ffcli.Command {
	return &ffcli.Command{
		Name:       "members",
		ShortUsage: "lemonctl members",
		ShortHelp:  "List the entries and the configuration in force at each.",
		FlagSet:    flag.NewFlagSet("lemonctl members", flag.ContinueOnError),
		Exec: func(ctx context.Context, _ []string) error {
			client, err := s.client()
			if err != nil {
				return err
			}
			var answers []operate.MemberAnswer
			if err := client.Get(ctx, operate.PathMembers, &answers); err != nil {
				return err
			}
			rows := make([][]string, 0, len(answers))
			for _, a := range answers {
				rows = append(rows, []string{a.ID, a.Zone, a.Operators, strconv.FormatInt(a.Config, 10), strconv.FormatBool(a.Heard)})
			}
			return s.print(answers, []string{"ID", "ZONE", "OPERATORS", "CONFIG", "HEARD"}, rows)
		},
	}
}
