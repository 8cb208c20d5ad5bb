package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/config"
	"lemonstream.dev/lemonstream/settings"
)

func newReferenceCmd() *ffcli.Command {
	return &ffcli.Command{
		Name:       "reference",
		ShortUsage: "lemonstreamd reference",
		ShortHelp:  "Print the reference of settings and configuration in Markdown.",
		FlagSet:    flag.NewFlagSet("lemonstreamd reference", flag.ContinueOnError),
		Exec: func(context.Context, []string) error {
			fmt.Println("# Settings reference")
			fmt.Println()
			fmt.Println("This page is printed by `lemonstreamd reference`; change the schema, not the page.")
			fmt.Println()
			fmt.Println("## The daemon's settings")
			fmt.Println()
			fmt.Print(settings.DaemonSchema().Reference())
			fmt.Println("## The configuration")
			fmt.Println()
			fmt.Print(config.Schema().Reference())
			return nil
		},
	}
}
