package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"lemonstream.dev/lemonstream/internal/overload"
)

// The overload measure plays demand of half to four times the room, and a burst, against
// the scheduler of a service: overloadSeeds days of overloadFor each, on
// overloadInstances instances.
const (
	overloadInstances = 10
	overloadSeeds     = 2
	overloadFor       = 20 * time.Second

	// overloadQueue is the fixed limit of a baseline, in jobs: some four seconds of room.
	overloadQueue = 20

	overloadPlotWidth  = 6 * vg.Inch
	overloadPlotHeight = 4 * vg.Inch
)

func newOverloadCmd() *ffcli.Command {
	flags := flag.NewFlagSet("lemonmeasure overload", flag.ContinueOnError)
	file := flags.String("plot", "", "file for a plot of what is served, by its ending: .svg or .png")
	return &ffcli.Command{
		Name:       "overload",
		ShortUsage: "lemonmeasure overload [-plot FILE]",
		ShortHelp:  "What callers get when more is asked for than there is room, against baselines and a bound.",
		FlagSet:    flags,
		Exec: func(context.Context, []string) error {
			return measureOverload(*file)
		},
	}
}

func measureOverload(file string) error {
	policies := []overload.Policy{{
		Name:  ours,
		Admit: true,
	}, {
		Name: "accept-all",
	}, {
		Name:  "queue-limit",
		Queue: overloadQueue,
	}, {
		Name:      "first-come",
		ByArrival: true,
	}}
	curves := make(map[string]plotter.XYs)
	for _, load := range []float64{0.5, 0.8, 1, 1.5, 2, 4} {
		demand := overload.Demand{
			Load: load,
			For:  overloadFor,
		}
		size := fmt.Sprintf("load-%g", load)
		for _, policy := range policies {
			r := meanOverload(demand, policy)
			reportOverload(size, policy.Name, r)
			curves[policy.Name] = append(curves[policy.Name], plotter.XY{
				X: load,
				Y: load * r.Served,
			})
		}
	}
	burst := overload.Demand{
		Load:     0.6,
		Burst:    4,
		BurstAt:  6 * time.Second,
		BurstFor: 6 * time.Second,
		For:      overloadFor,
	}
	for _, policy := range policies {
		reportOverload("burst-4", policy.Name, meanOverload(burst, policy))
	}
	if file == "" {
		return nil
	}
	return plotOverload(file, policies, curves)
}

// meanOverload returns the means over the seeds.
func meanOverload(demand overload.Demand, policy overload.Policy) overload.Result {
	var mean overload.Result
	for seed := range uint64(overloadSeeds) {
		r := overload.Run(overloadInstances, demand, policy, seed)
		mean.Served += r.Served / overloadSeeds
		mean.Late += r.Late / overloadSeeds
		mean.Refused += r.Refused / overloadSeeds
		mean.Bound += r.Bound / overloadSeeds
		mean.Tries += r.Tries / overloadSeeds
		mean.Wait50 += r.Wait50 / overloadSeeds
		mean.Wait95 += r.Wait95 / overloadSeeds
	}
	return mean
}

func reportOverload(size, policy string, r overload.Result) {
	report("overload-served", size, policy, r.Served, "part")
	report("overload-late", size, policy, r.Late, "part")
	report("overload-refused", size, policy, r.Refused, "part")
	report("overload-regret", size, policy, r.Bound-r.Served, "part")
	report("overload-tries", size, policy, r.Tries, "tries")
	report("overload-wait-p50", size, policy, float64(r.Wait50.Milliseconds()), "ms")
	report("overload-wait-p95", size, policy, float64(r.Wait95.Milliseconds()), "ms")
}

// plotOverload draws what is served against what is offered, both as parts of the room.
func plotOverload(file string, policies []overload.Policy, curves map[string]plotter.XYs) error {
	drawing := plot.New()
	drawing.X.Label.Text = "offered, as a part of the room"
	drawing.Y.Label.Text = "served in time, as a part of the room"
	drawing.Y.Min = 0
	drawing.Y.Max = 1
	drawing.Legend.Top = true
	drawing.Legend.Left = true
	for i, policy := range policies {
		line, err := plotter.NewLine(curves[policy.Name])
		if err != nil {
			return fmt.Errorf("plotting %s: %w", policy.Name, err)
		}
		line.Color = plotutil.Color(i)
		drawing.Add(line)
		drawing.Legend.Add(policy.Name, line)
	}
	if err := drawing.Save(overloadPlotWidth, overloadPlotHeight, file); err != nil {
		return fmt.Errorf("writing the plot: %w", err)
	}
	return nil
}
