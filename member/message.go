// Package member joins the entries: it carries messages between them over
// QUIC with mutual TLS and keeps which of them are heard. What it says is
// never truth, only news; truth is what the table holds.
package member

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"lemonstream.dev/lemonstream/store"
)

// Kinds of message.
const (
	// KindClaim asks a home for an unrepeatable request.
	KindClaim Kind = iota + 1

	// KindHello tells what an entry is and knows.
	KindHello

	// KindReport asks for what the entry counted.
	KindReport

	// KindRelease gives a grant back that was never used.
	KindRelease

	// KindRows tells rows of the table.
	KindRows
)

// maxMessage bounds an encoded message, in bytes.
const maxMessage = 8 << 20

// Hello is what an entry tells its peers about itself, and the answer to it.
type Hello struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`

	// Peers and Operators are the entry's addresses.
	Peers     string `cbor:"3,keyasint"`
	Operators string `cbor:"4,keyasint"`

	// Config is the version of the configuration in force at the entry.
	Config int64 `cbor:"5,keyasint"`

	// Revision is the highest version of a row that the entry knows.
	Revision int64 `cbor:"6,keyasint"`

	// Leaving marks an entry that stops.
	Leaving bool `cbor:"7,keyasint,omitempty"`

	// Demands maps a service or team to what the entry would use of it.
	Demands map[string]float64 `cbor:"8,keyasint,omitempty"`

	// Held tells of each instance that drains.
	Held map[string]Hold `cbor:"9,keyasint,omitempty"`

	// Suspects are the instances that the entry sees failing.
	Suspects []string `cbor:"10,keyasint,omitempty"`
}

// Hold is an entry's word that it sends nothing new to an instance.
type Hold struct {
	// Version is that of the instance's row on which the word is given; it
	// says nothing about later ones.
	Version int64 `cbor:"1,keyasint"`

	// Count is the number of the entry's requests still at the instance.
	Count int `cbor:"2,keyasint"`
}

// Kind names the handler of a message.
type Kind int

// Rows carries rows of the table. Without rows it asks for those that the peer
// knows above a version.
type Rows struct {
	Rows []store.Row `cbor:"1,keyasint"`

	// After is the version asked from; it is 0 in a message with rows.
	After int64 `cbor:"2,keyasint,omitempty"`
}

// envelope is what goes over a stream.
type envelope struct {
	Kind Kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint,omitempty"`

	// Problem is set in an answer when the handler failed.
	Problem string `cbor:"3,keyasint,omitempty"`
}

// MessageError reports a message that cannot be used.
type MessageError struct {
	Reason string
}

// Error implements error.
func (e *MessageError) Error() string {
	return "peer message refused: " + e.Reason
}

// Decode reads body into a value.
func Decode[T any](body []byte) (T, error) {
	var value T
	if err := cbor.Unmarshal(body, &value); err != nil {
		return value, &MessageError{
			Reason: err.Error(),
		}
	}
	return value, nil
}

// Encode returns value as a message body.
func Encode(value any) ([]byte, error) {
	body, err := deterministic().Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encoding peer message: %w", err)
	}
	return body, nil
}

// deterministic encodes equal values to equal bytes, maps among them, so that
// an entry can tell whether it has news.
var deterministic = sync.OnceValue(func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
})

func readEnvelope(from io.Reader) (envelope, error) {
	body, err := io.ReadAll(io.LimitReader(from, maxMessage+1))
	if err != nil {
		return envelope{}, err
	}
	if len(body) > maxMessage {
		return envelope{}, &MessageError{
			Reason: "too large",
		}
	}
	return Decode[envelope](body)
}

func (e envelope) err() error {
	if e.Problem == "" {
		return nil
	}
	return errors.New(e.Problem)
}
