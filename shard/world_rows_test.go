package shard_test

import (
	"lemonstream.dev/lemonstream/shard"
)

// maxRowBytes is the most bytes of a row that the platform takes, maxTransactionBytes that of a
// transaction, with room for the rows of the tenure.
const (
	maxRowBytes         = 65_536
	maxTransactionBytes = 800_000
)

// hasRow reports whether a row names a worker as one that may have runs.
func (w *world) hasRow(id string) bool {
	_, found := w.used[id]
	return found
}

// writeStandby makes the owner read the standby partition once and write to it while the store
// is down. Once the store is back, it removes redundant rows from the standby partition.
func (w *world) writeStandby() {
	if w.standbyDown {
		return
	}
	if !w.standbyRead {
		w.standbyRead = true
		records := make([]shard.Record, 0, len(w.standbyRecords))
		for _, id := range walk(w, w.standbyRecords) {
			records = append(records, w.standbyRecords[id])
		}
		if err := w.core.RestoreStandby(records, w.standbyEnded, w.progress, w.now); err != nil {
			w.addViolation("restore standby partition: %v", err)
		}
	}
	switch {
	case w.standbyBatch != nil && w.now.Sub(w.standbyAt) >= 2*tick:
		w.applyStandby(*w.standbyBatch)
		w.standbyBatch = nil
	case w.standbyBatch == nil && w.standbyOn && w.storeDown:
		if b := w.core.NextStandbyBatch(testBatchEntries); !b.Empty() {
			w.standbyBatch = &b
			w.standbyAt = w.now
		}
	case !w.storeDown:
		ids := w.core.RedundantStandby(testBatchEntries)
		for _, id := range ids {
			delete(w.standbyRecords, id)
			delete(w.standbyEnded, id)
		}
		w.core.StandbyRemoved(ids)
	}
}

func (w *world) applyStandby(b shard.StandbyBatch) {
	for _, record := range b.Records {
		w.standbyRecords[record.ID] = record
		w.noteStored(record)
	}
	for _, ended := range b.Ended {
		w.standbyEnded[ended.ID] = ended.Progress
	}
	w.core.StandbyWritten(b, w.now)
}

// write applies a batch two ticks after it was taken, and takes the next one.
func (w *world) write() {
	if w.batch != nil && !w.storeDown && w.now.Sub(w.batchAt) >= 2*tick {
		w.applyBatch()
	}
	if !w.storeDown && !w.frozen {
		rows := w.core.WorkerRows(8)
		for _, ref := range rows.Used {
			w.used[ref.ID] = ref
		}
		for _, id := range rows.Ended {
			delete(w.used, id)
		}
		w.handover = w.core.BuildHandover(w.now, false, testHandoverBytes)
		w.core.Confirm(rows, w.now)
	}
	if w.batch == nil {
		if b, found := w.core.NextBatch(testBatchEntries, w.now); found {
			w.batch = &b
			w.batchAt = w.now
		}
	}
}

// applyBatch writes the batch in flight, or undoes it if one of its jobs is stored already.
func (w *world) applyBatch() {
	b := *w.batch
	w.batch = nil
	if w.undo(b) {
		return
	}
	if w.rejects != nil && w.rejects(b) {
		w.core.UndoBatch(b, nil, w.now)
		w.core.RejectBatch(b, w.now)
		return
	}
	bytes := 0
	for _, one := range b.Writes {
		bytes += len(one.Row)
	}
	for _, record := range b.Records {
		bytes += len(record.Encode())
	}
	if bytes > maxTransactionBytes {
		w.addViolation("a batch has %d bytes", bytes)
	}
	for _, record := range b.Records {
		w.store(record)
	}
	for _, id := range b.ExpiredRefusals {
		delete(w.refused, id)
	}
	for _, one := range b.Refused {
		w.refused[one.ID] = one.Refusal
	}
	for _, one := range b.Writes {
		if one.RemoveProgress {
			delete(w.progress, one.ID)
			continue
		}
		w.progress[one.ID] = one.Progress
		if size := len(one.Progress.Encode()); size > maxRowBytes {
			w.addViolation("the row of %s has %d bytes", one.ID, size)
		}
		if one.RemoveRecord {
			delete(w.records, one.ID)
		}
		if one.RemoveCancelRequest {
			delete(w.cancelRows, one.ID)
		}
	}
	w.core.BatchWritten(b, w.now)
}

// undo undoes a batch if a job of it has a stored record, and reports whether it did.
func (w *world) undo(b shard.Batch) bool {
	var existing []shard.Existing
	absent := make([]string, 0, len(b.Records))
	for _, record := range b.Records {
		absent = append(absent, record.ID)
	}
	for _, one := range b.Refused {
		absent = append(absent, one.ID)
	}
	for _, one := range b.Writes {
		if one.RequireNoRecord {
			absent = append(absent, one.ID)
		}
	}
	for _, id := range absent {
		if stored, found := w.records[id]; found {
			existing = append(existing, shard.Existing{
				Record:  stored,
				Version: w.version,
			})
		}
	}
	if len(existing) > 0 {
		w.core.UndoBatch(b, existing, w.now)
	}
	return len(existing) > 0
}
