// Package once keeps an unrepeatable request from running twice. The identity
// of a request is a UUID of version 7, which carries its time of issue. Each
// partition of identities has one home entry, which remembers what it granted,
// and the table gives each home a range of issue times that no other home of
// the partition ever gets. So two entries that both believe to be the home,
// one of them frozen, can't grant the same identity. See
// docs/design/at-most-once.md.
package once

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Partitions is the number of homes; it never changes.
const Partitions = 64

// uuidVersion is the version of UUID that carries its time of issue, RFC 9562.
const uuidVersion = 7

// Key is the identity of an unrepeatable request.
type Key [16]byte

// KeyError reports an identity that carries no time of issue.
type KeyError struct {
	Text string
}

// ParseKey reads the identity, or returns a *KeyError.
func ParseKey(text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != uuidVersion {
		return Key{}, &KeyError{
			Text: text,
		}
	}
	return Key(id), nil
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("identity %q is not a UUID of version 7: an unrepeatable request needs one in Idempotency-Key, made once and kept for every retry", e.Text)
}

// Issued returns the time of issue, in milliseconds since the Unix epoch.
func (k Key) Issued() int64 {
	var wide [8]byte
	copy(wide[2:], k[:6])
	return int64(binary.BigEndian.Uint64(wide[:]))
}

// Partition returns the partition of the identity, from 0 to Partitions-1.
func (k Key) Partition() int {
	return int(xxhash.Sum64(k[:]) % Partitions)
}

// PartitionName returns the name of a partition in row keys.
func PartitionName(partition int) string {
	return strconv.Itoa(partition)
}
