package owner

import (
	"log/slog"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lemonstream.dev/lemonstream/outlier"
)

const (
	// maxEvidenceBytes is the maximum size of the evidence in a heartbeat row.
	maxEvidenceBytes = 512

	// evidenceHeadBytes is the maximum size of the head of the list, which grows with its length.
	evidenceHeadBytes = 3

	// figureEjected is the figure of the ejected workers of a service.
	figureEjected = "ejected_workers"

	// figureUnreadEnds is the figure of the most ends that a worker of a service listed at once.
	figureUnreadEnds = "unread_ends"

	// oddsScale is by how much the odds in a row are multiplied: they are stored as whole numbers.
	oddsScale = 100
)

// EvidenceRow is what an owner knows against one worker.
type EvidenceRow struct {
	_ struct{} `cbor:",toarray"`

	// Worker is the incarnation of the worker.
	Worker string

	// Odds is outlier.Evidence.Odds times oddsScale. Ended and Failed count runs.
	Odds   int
	Ended  int
	Failed int

	// Ejected is 1 for an ejected worker, else 0. ProbeMillis is the time between two probes,
	// OutMillis how long the worker has been out of full use, both in milliseconds.
	Ejected     int
	ProbeMillis int64
	OutMillis   int64
}

// EncodeEvidence returns as much of the evidence as fits into maxEvidenceBytes; nil if there is
// none.
func EncodeEvidence(list []outlier.Evidence) cbor.RawMessage {
	var rows []EvidenceRow
	size := evidenceHeadBytes
	for _, e := range list {
		row := EvidenceRow{
			Worker:      e.Worker,
			Odds:        int(math.Round(e.Odds * oddsScale)),
			Ended:       e.Ended,
			Failed:      e.Failed,
			ProbeMillis: e.ProbeInterval.Milliseconds(),
			OutMillis:   e.OutFor.Milliseconds(),
		}
		if e.Ejected {
			row.Ejected = 1
		}
		if size += len(encodeRow(row)); size > maxEvidenceBytes {
			break
		}
		rows = append(rows, row)
	}
	if len(rows) == 0 {
		return nil
	}
	return encodeRow(rows)
}

// DecodeEvidence returns the evidence in a heartbeat row. Evidence that can't be read counts as
// none; entries that cannot be true are left out by the shard.
func DecodeEvidence(encoded cbor.RawMessage, log *slog.Logger) []outlier.Evidence {
	if len(encoded) == 0 {
		return nil
	}
	var rows []EvidenceRow
	if err := cbor.Unmarshal(encoded, &rows); err != nil {
		log.Warn("evidence in heartbeat row not read", "error", err.Error())
		return nil
	}
	list := make([]outlier.Evidence, 0, len(rows))
	for _, row := range rows {
		list = append(list, outlier.Evidence{
			Worker:        row.Worker,
			Odds:          float64(row.Odds) / oddsScale,
			Ended:         row.Ended,
			Failed:        row.Failed,
			Ejected:       row.Ejected != 0,
			ProbeInterval: time.Duration(row.ProbeMillis) * time.Millisecond,
			OutFor:        time.Duration(row.OutMillis) * time.Millisecond,
		})
	}
	return list
}

// setFigure sets a figure of the service of this duty.
func (d *Duty) setFigure(name string, value float64) {
	if d.deps.SetFigure != nil {
		d.deps.SetFigure(name, d.service, value)
	}
}
