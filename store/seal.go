package store

import (
	"crypto/sha256"
	"fmt"
)

// BrokenObjectError reports an object whose checksum does not match.
type BrokenObjectError struct {
	Key string
}

// Error implements error.
func (e *BrokenObjectError) Error() string {
	return fmt.Sprintf("object %s fails its checksum and is not used", e.Key)
}

// Seal puts the body's SHA-256 before it.
func Seal(body []byte) []byte {
	sum := sha256.Sum256(body)
	return append(sum[:], body...)
}

// Unseal checks and removes the checksum, or returns a *BrokenObjectError.
func Unseal(key string, sealed []byte) ([]byte, error) {
	if len(sealed) < sha256.Size {
		return nil, &BrokenObjectError{
			Key: key,
		}
	}
	body := sealed[sha256.Size:]
	if sha256.Sum256(body) != [sha256.Size]byte(sealed[:sha256.Size]) {
		return nil, &BrokenObjectError{
			Key: key,
		}
	}
	return body, nil
}
