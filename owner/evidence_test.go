package owner_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/outlier"
	"lemonstream.dev/lemonstream/owner"
)

// TestEvidenceInTheHeartbeat guards against evidence that grows beyond its part of the row, and
// against evidence that can't be read making the whole row unreadable.
func TestEvidenceInTheHeartbeat(t *testing.T) {
	is := is.New(t)
	log := slog.New(slog.DiscardHandler)
	var list []outlier.Evidence
	for i := range 100 {
		list = append(list, outlier.Evidence{
			Worker:        fmt.Sprintf("worker-%03d@1700000000000", i),
			Odds:          9.25,
			Ended:         1000,
			Failed:        900,
			Ejected:       true,
			ProbeInterval: 16 * time.Second,
			OutFor:        time.Hour,
		})
	}
	encoded := owner.EncodeEvidence(list)
	is.True(len(encoded) <= 512)
	decoded := owner.DecodeEvidence(encoded, log)
	is.True(len(decoded) >= 8)
	is.Equal(decoded, list[:len(decoded)])
	is.Equal(len(owner.EncodeEvidence(nil)), 0)

	row, err := cbor.Marshal(owner.Beat{
		Epoch:    7,
		Evidence: cbor.RawMessage{0x63, 'b', 'a', 'd'},
	})
	is.NoErr(err)
	var beat owner.Beat
	is.NoErr(cbor.Unmarshal(row, &beat))
	is.Equal(beat.Epoch, int64(7))
	is.Equal(len(owner.DecodeEvidence(beat.Evidence, log)), 0)
}
