package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gin-gonic/gin"
	"github.com/peterbourgon/ff/v3/ffcli"
	"golang.org/x/sync/errgroup"

	"lemonstream.dev/lemonstream/admit"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/config"
	"lemonstream.dev/lemonstream/entry"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/forward"
	"lemonstream.dev/lemonstream/once"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
)

// The path measure: 32 connections for three seconds to one endpoint that
// answers at once, straight and through an entry in the same process.
const (
	pathCallers = 32
	pathLength  = 3 * time.Second
)

func newPathCmd() *ffcli.Command {
	return newMeasureCmd("path", "Throughput and added time of an entry against a direct call.", func(ctx context.Context) error {
		endpoint, err := listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, "whole")
		}))
		if err != nil {
			return err
		}
		through, err := newEntry(endpoint)
		if err != nil {
			return err
		}
		direct, directTimes := load(ctx, "http://"+endpoint.String()+"/do")
		entered, enteredTimes := load(ctx, "http://"+through.String()+"/call/work/do")
		report("path-throughput", sizeToday, "direct", direct, "requests/s")
		report("path-throughput", sizeToday, ours, entered, "requests/s")
		report("path-throughput-of-direct", sizeToday, ours, entered/direct, "ratio")
		for _, quantile := range []float64{50, 99} {
			added := enteredTimes.ValueAtQuantile(quantile) - directTimes.ValueAtQuantile(quantile)
			report(fmt.Sprintf("path-added-p%.0f", quantile), sizeToday, ours, float64(added), "us")
		}
		return nil
	})
}

func listen(handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Minute,
	}
	var serving errgroup.Group
	serving.Go(func() error { return server.Serve(listener) })
	return netip.ParseAddrPort(listener.Addr().String())
}

// load sends for a while over all connections and returns requests a second
// and their times in microseconds.
func load(ctx context.Context, url string) (rate float64, times *hdrhistogram.Histogram) {
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: pathCallers,
		},
	}
	until := time.Now().Add(pathLength)
	each := make([]*hdrhistogram.Histogram, pathCallers)
	var callers errgroup.Group
	for caller := range each {
		each[caller] = hdrhistogram.New(1, 60_000_000, 3)
		callers.Go(func() error {
			for time.Now().Before(until) {
				begin := time.Now()
				if err := one(ctx, client, url); err != nil {
					return err
				}
				_ = each[caller].RecordValue(time.Since(begin).Microseconds())
			}
			return nil
		})
	}
	_ = callers.Wait()
	times = hdrhistogram.New(1, 60_000_000, 3)
	for _, some := range each {
		times.Merge(some)
	}
	return float64(times.TotalCount()) / pathLength.Seconds(), times
}

func one(ctx context.Context, client *http.Client, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("body"))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return err
}

// newEntry returns the address of an entry in front of the endpoint.
func newEntry(endpoint netip.AddrPort) (netip.AddrPort, error) {
	services := entry.NewServices(clock.System(), entry.ServicesOptions{
		QueueLength: 256,
		Entries:     1,
		TakesWork:   entry.TakesWork,
		NewSender:   forward.NewSender,
	})
	instance, err := json.Marshal(fleet.Instance{
		ID:      "w",
		Pool:    "pool",
		Address: endpoint,
		Phase:   fleet.PhaseServing,
	})
	if err != nil {
		return netip.AddrPort{}, err
	}
	view, err := state.BuildView(nil, []store.Row{
		encodeRow(fleet.ConfigKey, config.Row{
			Version: 1,
			Body:    []byte(fmt.Sprintf("[service work]\npool = pool\nslots = %d\n", pathCallers)),
		}),
		{
			Key:     fleet.InstanceKey("w"),
			Version: 1,
			Value:   instance,
		},
	}, nil)
	if err != nil {
		return netip.AddrPort{}, err
	}
	services.Update(view)
	services.SetShares(view, "e", func(string) []admit.Claim {
		return []admit.Claim{{
			Entry: "e",
		}}
	})
	claims := entry.Claims{
		Claim:   func(context.Context, once.Key, string) error { return nil },
		Release: func(context.Context, once.Key, string) {},
	}
	handler := entry.NewHandler(services, claims, clock.System(), slog.New(slog.DiscardHandler), entry.Limits{
		BufferBody: 64 << 10,
		MaxBody:    8 << 20,
	}, entry.AllGuards(), func() bool { return true })
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	handler.Routes(engine)
	return listen(engine)
}
