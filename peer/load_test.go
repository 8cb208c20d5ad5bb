package peer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/peer"
	"lemonstream.dev/lemonstream/shard"
)

// drawRoom draws an amount of resources.
func drawRoom(t *rapid.T, name string) job.Room {
	return job.Room{
		MilliCPU:     rapid.IntRange(0, 1<<20).Draw(t, name+" processors"),
		MemoryMB:     rapid.IntRange(0, 1<<20).Draw(t, name+" memory"),
		Accelerators: rapid.IntRange(0, 16).Draw(t, name+" accelerators"),
	}
}

// TestLoadRoundTrip checks that random loads survive encoding and decoding unchanged.
func TestLoadRoundTrip(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		is := is.New(t)
		load := shard.Load{
			Used:    drawRoom(t, "used"),
			Waiting: drawRoom(t, "waiting"),
			Coming:  drawRoom(t, "coming"),
			Lasting: drawRoom(t, "lasting"),

			Late:       drawRoom(t, "late"),
			LateComing: drawRoom(t, "late, coming"),

			Spread:   rapid.IntRange(0, 100).Draw(t, "spread"),
			Room:     drawRoom(t, "room"),
			Labelled: make(map[string]job.Room),
			Workers:  make(map[string]shard.WorkerLoad),
		}
		for i := range rapid.IntRange(0, 5).Draw(t, "workers") {
			load.Labelled[fmt.Sprintf("l-%d", i)] = drawRoom(t, "labelled")
			var born time.Time
			if rapid.Bool().Draw(t, "born is told") {
				born = time.UnixMilli(rapid.Int64Range(0, 2_000_000_000_000).Draw(t, "born"))
			}
			load.Workers[fmt.Sprintf("w-%d", i)] = shard.WorkerLoad{
				Born:     born,
				Runs:     rapid.IntRange(0, 64).Draw(t, "runs"),
				Lasting:  rapid.IntRange(0, 64).Draw(t, "lasting runs"),
				Used:     drawRoom(t, "used there"),
				Busy:     time.Duration(rapid.IntRange(0, 100_000).Draw(t, "busy")) * time.Millisecond,
				Closed:   rapid.Bool().Draw(t, "closed"),
				Draining: rapid.Bool().Draw(t, "draining"),
				Known:    rapid.Bool().Draw(t, "known"),
				Reached:  rapid.Bool().Draw(t, "reached"),
			}
		}
		body, err := peer.EncodeLoad(load)
		is.NoErr(err)
		read, err := peer.DecodeLoad(body)
		is.NoErr(err)
		is.Equal(read, load)
	})
}

// TestEncodedLoadSize limits the bytes per worker in a load, which the instance controller
// receives five times a second.
func TestEncodedLoadSize(t *testing.T) {
	const workers = 145
	is := is.New(t)
	load := shard.Load{
		Workers: make(map[string]shard.WorkerLoad),
	}
	for i := range workers {
		load.Workers[fmt.Sprintf("i-%010x", i)] = shard.WorkerLoad{
			Runs: 14,
			Used: job.Room{
				MilliCPU: 15_800,
				MemoryMB: 60_000,
			},
			Busy:    1700 * time.Millisecond,
			Known:   true,
			Reached: true,
		}
	}
	body, err := peer.EncodeLoad(load)
	is.NoErr(err)
	is.True(len(body) < 35*workers)
}

// TestMalformedLoadIsRefused covers an answer that is not a load.
func TestMalformedLoadIsRefused(t *testing.T) {
	is := is.New(t)
	_, err := peer.DecodeLoad([]byte("{}"))
	is.True(err != nil)
}
