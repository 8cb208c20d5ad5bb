package shard

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Withdrawal is the row of a job that was withdrawn while no record of it was stored. An earlier try to
// hand it in, of whatever entry, may still be carried out by the store. It requires that there is no such
// row, and that the fence of its queue was not raised, which happens when the row is removed.
type Withdrawal struct {
	// AtMillis is when the job was withdrawn, in Unix milliseconds.
	AtMillis int64 `cbor:"1,keyasint"`

	// Queue is the queue of the job, by the name that its fence has.
	Queue string `cbor:"2,keyasint"`
}

// DecodeWithdrawal decodes a row written by Withdrawal.Encode.
func DecodeWithdrawal(value []byte) (Withdrawal, error) {
	var w Withdrawal
	if err := cbor.Unmarshal(value, &w); err != nil {
		return w, fmt.Errorf("decode withdrawal: %w", err)
	}
	return w, nil
}

// Encode returns the row in CBOR.
func (w Withdrawal) Encode() []byte {
	return encode(w)
}

// At returns when the job was withdrawn.
func (w Withdrawal) At() time.Time {
	return time.UnixMilli(w.AtMillis)
}

// WithdrawalScopes returns whose withdrawals prevent the record: those of its organisation, and those of
// all callers, named by an empty scope, if it was handed in by a public route or without a key.
func (r Record) WithdrawalScopes() []string {
	return WithdrawalScopes(r.Organisation, r.Address != nil && r.Address.Public)
}

// WithdrawalScopes returns the scopes of a call by an organisation, empty for none, and by a public route
// or not.
func WithdrawalScopes(organisation string, public bool) []string {
	switch {
	case organisation == "":
		return []string{""}
	case public:
		return []string{"", organisation}
	default:
		return []string{organisation}
	}
}
