package shard_test

import (
	"encoding/hex"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/shard"
)

func TestRecordKeepsMillisecondsOfItsTimes(t *testing.T) {
	is := is.New(t)
	record := shard.Record{
		ID: "a",
		Spec: job.Spec{
			Steps:    []job.Step{step(1)},
			FirstRun: time.UnixMilli(1_700_000_003_812).UTC(),
			Interval: 4500 * time.Millisecond,
			Repeats:  3,
		},
	}
	read, err := shard.DecodeRecord(record.Encode())
	is.NoErr(err)
	is.True(read.Spec.FirstRun.Equal(record.Spec.FirstRun))
	is.Equal(read.Spec.Interval, record.Spec.Interval)
	is.True(read.Spec.Due(2).Equal(time.UnixMilli(1_700_000_012_812)))
}

// Another writer's record held the time of its first run as a number. It was accepted, and encoding it
// again ended the process of the owner.
func TestRecordWithTimeThatCannotBeEncodedIsLeftOut(t *testing.T) {
	for name, firstRun := range map[string]any{
		"year 33658":       int64(1_000_000_000_000),
		"2^62":             int64(1) << 62,
		"before the years": -int64(1) << 40,
		"a fraction":       1e15,
		"not a number":     math.NaN(),
		"infinite":         math.Inf(1),
		"text":             "+33658-09-27T01:46:40Z",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			value, err := cbor.Marshal(map[int]any{
				1: "a",
				4: map[string]any{
					"Steps":    []any{map[string]any{"Count": 1}},
					"FirstRun": firstRun,
					"Repeats":  1,
				},
			})
			is.NoErr(err)
			record, err := shard.DecodeRecord(value)
			if err == nil {
				is.True(len(record.Encode()) > 0)
				is.Equal(record.Spec.FirstRun, time.Time{}) // What is no number counts as no time.
			}
		})
	}
}

func TestProgressRoundTrip(t *testing.T) {
	is := is.New(t)
	progress := shard.Progress{
		State: job.Running,
		Done: map[string][]byte{
			"0.1": {3},
		},
		Failed: map[string][]int64{
			"0.1.2": {1, 5},
		},
		Crashed: map[string][]string{
			"0.1.2": {"w1", "w2"},
		},
		PossibleCrashes: map[string][]string{
			"0.1.2": {"w3"},
		},
	}
	read, err := shard.DecodeProgress(progress.Encode())
	is.NoErr(err)
	is.Equal(read, progress)
}

// TestProgressEncodingIsStable checks the encoded bytes of progress rows. During an upgrade
// entries of the old and the new version read each other's rows.
func TestProgressEncodingIsStable(t *testing.T) {
	is := is.New(t)
	before := shard.Progress{
		State: job.Running,
		Route: "q",
		Failed: map[string][]int64{
			"0.1.2": {1, 5},
		},
	}
	const bytesBefore = "a3016772756e6e696e6702617104a165302e312e32820105"
	is.Equal(hex.EncodeToString(before.Encode()), bytesBefore) // Crashes take no bytes if there are none.
	now := before
	now.Crashed = map[string][]string{
		"0.1.2": {"w1"},
	}
	now.PossibleCrashes = map[string][]string{
		"0.1.2": {"w3"},
	}
	const bytesNow = "a5016772756e6e696e6702617104a165302e312e3282010506a165302e312e328162773107a165302e312e3281627733"
	is.Equal(hex.EncodeToString(now.Encode()), bytesNow)
	row, err := hex.DecodeString(bytesBefore)
	is.NoErr(err)
	read, err := shard.DecodeProgress(row)
	is.NoErr(err)
	is.Equal(read, before)
}

func TestDecodeRecordRejectsInvalidRows(t *testing.T) {
	is := is.New(t)
	_, err := shard.DecodeRecord([]byte("not a row"))
	is.True(err != nil)
	_, err = shard.DecodeRecord(shard.Record{
		ID: "a",
	}.Encode())
	is.True(err != nil) // A job without steps is never accepted.
}
