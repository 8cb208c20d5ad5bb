package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lemonstream.dev/lemonstream/clock"
)

const (
	// commitPause is the wait between two tries of a commit.
	commitPause = 100 * time.Millisecond

	// commitTries bounds the tries of one commit.
	commitTries = 3
)

// Written returns the rows that the transaction wrote at the revision.
func (tx Transaction) Written(revision int64) []Row {
	rows := make([]Row, 0, len(tx.Puts))
	for _, put := range tx.Puts {
		rows = append(rows, Row{
			Key:     put.Key,
			Version: revision,
			Op:      tx.Op,
			Value:   put.Value,
		})
	}
	return rows
}

// Commit applies tx and resolves a lost answer: a try without an answer is
// repeated with the same operation id, and a conflict with a row that this
// very operation wrote is the success of an earlier try. Each try carries the
// same checks, so at most one of them takes effect. Commit returns the
// revision, a *RefusedError for a value that is too large, a *ConflictError, or an *UnavailableError when the outcome is
// still unknown after the last try.
func (t Table) Commit(ctx context.Context, tx Transaction) (int64, error) {
	for _, put := range tx.Puts {
		if len(put.Value) > MaxValueBytes {
			return 0, &RefusedError{
				Call:   tx.Op,
				Reason: fmt.Sprintf("row %s would hold %d bytes, at most %d may stand in one", put.Key, len(put.Value), MaxValueBytes),
			}
		}
	}
	pause := t.Pause
	if pause == nil {
		pause = clock.Sleep
	}
	var lost error
	for try := 0; try < commitTries; try++ {
		if try > 0 && !pause(ctx, commitPause) {
			return 0, lost
		}
		version, err := t.Transact(ctx, tx)
		if err == nil {
			return version, nil
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			if conflict.Op == tx.Op {
				return conflict.Have, nil
			}
			return 0, err
		}
		if !IsUnavailable(err) {
			return 0, err
		}
		lost = err
	}
	return 0, lost
}
