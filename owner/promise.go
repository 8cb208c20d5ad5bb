package owner

import (
	"context"
	"time"
)

// PromiseError reports that not every witness has promised not to claim a part.
type PromiseError struct {
	Part   string
	Reason string
}

// Error implements error.
func (e *PromiseError) Error() string {
	return "no promise for " + e.Part + ": " + e.Reason
}

// mayAct reports whether the owner may act now. base is how long it may after its last write
// without promises.
func (t *tenure) mayAct(base time.Duration) bool {
	return t.age() <= base
}

// informWitnesses asks every witness for a promise on a request that names the given instances. It
// returns nil once all have promised, otherwise a *PromiseError.
func (t *tenure) informWitnesses(context.Context, []string) error {
	return &PromiseError{
		Part:   t.part,
		Reason: "no witness is named",
	}
}
