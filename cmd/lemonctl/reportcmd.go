package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/operate"
)

func newReportCmd(s *session) *ffcli.Command {
	flags := flag.NewFlagSet("lemonctl report", flag.ContinueOnError)
	page := flags.String("html", "", "write one HTML page with plots to this file")
	return &ffcli.Command{
		Name:       "report",
		ShortUsage: "lemonctl report [--html FILE]",
		ShortHelp:  "Report on service-level burn over 5 m, 1 h, 6 h and 3 d.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			client, err := s.client()
			if err != nil {
				return err
			}
			var answer operate.ReportAnswer
			if err := client.Get(ctx, operate.PathReport, &answer); err != nil {
				return err
			}
			if *page != "" {
				return writePage(*page, answer)
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

// writePage writes the report as a page to the file.
func writePage(name string, answer operate.ReportAnswer) error {
	file, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	return errors.Join(answer.WritePage(file), file.Close())
}
