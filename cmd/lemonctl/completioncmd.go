package main

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newCompletionCmd(s *session) *ffcli.Command {
	return &ffcli.Command{
		Name:       "completion",
		ShortUsage: "lemonctl completion bash",
		ShortHelp:  "Print a completion script for a shell.",
		LongHelp:   "Use it as: source <(lemonctl completion bash)",
		FlagSet:    flag.NewFlagSet("lemonctl completion", flag.ContinueOnError),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 || args[0] != "bash" {
				return flag.ErrHelp
			}
			var names []string
			for _, command := range newRootCmd(s).Subcommands {
				names = append(names, command.Name)
			}
			fmt.Fprintf(s.out, "complete -W %q lemonctl\n", strings.Join(names, " "))
			return nil
		},
	}
}
