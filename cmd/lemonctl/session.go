package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"

	"lemonstream.dev/lemonstream/operate"
)

// session is what every command shares.
type session struct {
	out      io.Writer
	entries  string
	operator string
	output   string
}

// usageError reports flags or arguments that make no sense.
type usageError struct {
	reason string
}

// Error implements error.
func (e *usageError) Error() string {
	return e.reason
}

func newSession(out io.Writer) *session {
	return &session{
		out: out,
	}
}

// client returns a client of the entries that the flags name.
func (s *session) client() (*operate.Client, error) {
	var entries []netip.AddrPort
	for _, part := range strings.Split(s.entries, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return nil, &usageError{
				reason: fmt.Sprintf("--entries: %q is not an IP address with a port", part),
			}
		}
		entries = append(entries, address)
	}
	return operate.NewClient(entries), nil
}

// clientForOne returns a client for a command that takes exactly one argument.
func (s *session) clientForOne(args []string) (*operate.Client, error) {
	if len(args) != 1 {
		return nil, flag.ErrHelp
	}
	return s.client()
}

func (s *session) flags(flags *flag.FlagSet) {
	flags.StringVar(&s.entries, "entries", "127.0.0.1:7200", "operators' addresses of entries, separated by commas")
	flags.StringVar(&s.operator, "operator", os.Getenv("USER"), "who you are, for the record")
	flags.StringVar(&s.output, "output", "table", "table or json")
}

// print writes value as JSON, or table as columns.
func (s *session) print(value any, header []string, rows [][]string) error {
	if s.output == "json" {
		encoder := json.NewEncoder(s.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	if s.output != "table" {
		return &usageError{
			reason: "--output must be table or json",
		}
	}
	columns := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(columns, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(columns, strings.Join(row, "\t"))
	}
	return columns.Flush()
}
