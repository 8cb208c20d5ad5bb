package main

import (
	"context"
	"flag"
	"net/url"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/operate"
	"lemonstream.dev/lemonstream/work"
)

func newJobsCmd(s *session) *ffcli.Command {
	return &ffcli.Command{
		Name:       "jobs",
		ShortUsage: "lemonctl jobs POOL",
		ShortHelp:  "List the jobs of a pool with what became of them.",
		FlagSet:    flag.NewFlagSet("lemonctl jobs", flag.ContinueOnError),
		Exec: func(ctx context.Context, args []string) error {
			client, err := s.clientForOne(args)
			if err != nil {
				return err
			}
			var jobs []work.Job
			if err := client.Get(ctx, operate.PathJobs+"?pool="+url.QueryEscape(args[0]), &jobs); err != nil {
				return err
			}
			rows := make([][]string, 0, len(jobs))
			for _, job := range jobs {
				rows = append(rows, []string{
					job.ID,
					job.Team,
					strconv.FormatBool(job.Urgent),
					string(job.State),
					job.Worker,
					strconv.Itoa(job.Attempt),
					string(job.Reason),
				})
			}
			return s.print(jobs, []string{"ID", "TEAM", "URGENT", "STATE", "WORKER", "ATTEMPTS", "REASON"}, rows)
		},
	}
}
