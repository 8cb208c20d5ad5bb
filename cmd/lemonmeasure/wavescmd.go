package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newWavesCmd() *ffcli.Command {
	return newMeasureCmd("waves", "Moves, buffer cost and roll-out time against plain baselines.", func(context.Context) error {
		return nil
	})
}
