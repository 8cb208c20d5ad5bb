package main

import (
	"context"
	"flag"

	"github.com/gin-gonic/gin"
	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/internal/standin"
)

func newSiteCmd() *ffcli.Command {
	flags := flag.NewFlagSet("lemonstandin site", flag.ContinueOnError)
	dir := flags.String("dir", ".", "folder for the entries' settings and the site's file")
	entries := flags.Int("entries", 3, "entries to write settings for")
	instances := flags.Int("instances", 6, "instances, each with a worker")
	port := flags.Int("port", 23_000, "first of three ports for each entry")
	return &ffcli.Command{
		Name:      "site",
		ShortHelp: "Stand in for the users' platform: store, instances, workers.",
		FlagSet:   flags,
		Exec: func(ctx context.Context, _ []string) error {
			gin.SetMode(gin.ReleaseMode)
			site, err := standin.NewSite(standin.SiteOptions{
				Dir:       *dir,
				Entries:   *entries,
				Instances: *instances,
				FirstPort: *port,
			})
			if err != nil {
				return err
			}
			return site.Run(ctx)
		},
	}
}
