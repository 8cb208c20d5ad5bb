package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/operate"
)

func newReportCmd(s *session) *ffcli.Command {
	return &ffcli.Command{
		Name:       "report",
		ShortUsage: "lemonctl report",
		ShortHelp:  "Report on service-level burn over 5 m, 1 h, 6 h and 3 d.",
		FlagSet:    flag.NewFlagSet("lemonctl report", flag.ContinueOnError),
		Exec: func(ctx context.Context, _ []string) error {
			client, err := s.client()
			if err != nil {
				return err
			}
			var answer operate.ReportAnswer
			if err := client.Get(ctx, operate.PathReport, &answer); err != nil {
				return err
			}
			return s.printReport(answer)
		},
	}
}

func (s *session) printReport(answer operate.ReportAnswer) error {
	var rows [][]string
	for _, service := range answer.Services {
		for _, w := range service.Windows {
			row := []string{
				service.Service,
				fmt.Sprintf("%.6g", service.Objective),
				w.Window.String(),
				fmt.Sprint(w.Total),
				fmt.Sprint(w.Bad),
				fmt.Sprintf("%.2f", w.Burn),
			}
			for _, count := range w.By {
				row = append(row, fmt.Sprint(count))
			}
			rows = append(rows, row)
		}
	}
	header := []string{"SERVICE", "OBJECTIVE", "WINDOW", "TOTAL", "BAD", "BURN", "WHOLE", "REFUSED", "UNKNOWN", "LATE", "FAILED"}
	if err := s.print(answer, header, rows); err != nil || s.output == "json" {
		return err
	}
	fmt.Fprintf(s.out, "\ncounted by %v\n", answer.Entries)
	if len(answer.Missing) > 0 {
		fmt.Fprintf(s.out, "NOT in the report, no answer: %v\n", answer.Missing)
	}
	fmt.Fprintf(s.out, "plans in the longest window: %v\n", answer.Plans)
	return nil
}
