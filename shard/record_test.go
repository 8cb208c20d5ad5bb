package shard_test

import (
	"testing"
	"time"

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

func TestProgressSurvivesItsRow(t *testing.T) {
	is := is.New(t)
	progress := shard.Progress{
		State: job.Running,
		Done: map[string][]byte{
			"0.1": {3},
		},
		Failed: map[string][]int64{
			"0.1.2": {1, 5},
		},
	}
	read, err := shard.DecodeProgress(progress.Encode())
	is.NoErr(err)
	is.Equal(read, progress)
}

func TestBrokenRowsAreRefused(t *testing.T) {
	is := is.New(t)
	_, err := shard.DecodeRecord([]byte("not a row"))
	is.True(err != nil)
	_, err = shard.DecodeRecord(shard.Record{
		ID: "a",
	}.Encode())
	is.True(err != nil) // A job without steps was never accepted.
}
