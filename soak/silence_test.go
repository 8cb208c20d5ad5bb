package soak_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestSilentCallersDoNotStay covers callers whose connections went silent, wherever
// in a request that was: an entry ends each of them after some time, since it has a
// bounded number of descriptors.
func TestSilentCallersDoNotStay(t *testing.T) {
	d := deploy(t)
	e := d.entries[0]
	d.awaitReady(e, http.StatusOK)
	head := "POST /q/00000000000000b0 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000\r\n"
	cases := map[string]string{
		"nothing sent":     "",
		"half the headers": head,
		"no body":          head + "\r\n",
		"half the body":    head + "\r\n" + strings.Repeat(" ", 500),
		"after an answer":  "GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n",
		"unread body":      "POST /none HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat(" ", 500),
	}
	var group errgroup.Group
	stays := make(chan string, len(cases))
	for name, sent := range cases {
		conn, err := net.Dial("tcp4", e.front)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		group.Go(func() error {
			if _, err := conn.Write([]byte(sent)); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(patience))
			_, err := io.Copy(io.Discard, conn)
			var late net.Error
			if errors.As(err, &late) && late.Timeout() {
				stays <- name
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	close(stays)
	for name := range stays {
		t.Errorf("%s: the connection stays open", name)
	}
}

// TestJobsSurviveSilentConnections covers the moment in which every open connection
// goes silent for good, to the store, to the workers, to the instances' interface
// and from callers, while new ones work: jobs under way end, and no task runs twice.
func TestJobsSurviveSilentConnections(t *testing.T) {
	const silences, each = 3, 4
	d := deploy(t)
	for _, e := range d.entries {
		d.awaitReady(e, http.StatusOK)
	}
	var ids []string
	for silence := range silences {
		for i := range each {
			id := fmt.Sprintf("%016x", 0xc0+silence*each+i)
			ids = append(ids, id)
			d.any(http.MethodPost, "/q/"+id, body, succeeded)
		}
		for _, l := range d.links {
			l.set(linkSilencesOpen)
		}
	}
	for _, id := range ids {
		d.any(http.MethodGet, "/q/"+id, "", completed)
	}
	faults, starts := d.oracle.Faults()
	for _, fault := range faults {
		t.Error(fault)
	}
	t.Logf("%d jobs, %d starts, %d faults", len(ids), starts, len(faults))
}
