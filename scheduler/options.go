package scheduler

import (
	"fmt"
	"time"

	"lemonstream.dev/lemonstream/intake"
	"lemonstream.dev/lemonstream/witness"
)

// moveCostMost is the most that a move may be said to cost: an instance that is held for longer
// is not sent to sleep in effect.
const moveCostMost = time.Hour

// Options are what an operator sets beside the platform's settings.
type Options struct {
	// MoveCost is what a move of an instance costs; see pool.Options.
	MoveCost time.Duration

	// OfferTime is how long a job is offered to a store that does not accept it; see
	// intake.Server.
	OfferTime time.Duration
	// OutageTimeout is how long an owner continues without a successful write while its
	// witnesses promise not to claim its part; see owner.Deps. 0 switches this off.
	OutageTimeout time.Duration
}

// OptionError reports an option that can't be used.
type OptionError struct {
	Name   string
	Value  string
	Reason string
}

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("option %s = %s: %s", e.Name, e.Value, e.Reason)
}

// Check returns an *OptionError for the first option that can't be used.
func (o Options) Check() error {
	if o.MoveCost < 0 || o.MoveCost > moveCostMost {
		return &OptionError{
			Name:   "move-cost",
			Value:  o.MoveCost.String(),
			Reason: "is not between 0s and " + moveCostMost.String(),
		}
	}
	if o.OfferTime < 0 || o.OfferTime > intake.MaxOfferTime {
		return &OptionError{
			Name:   "offer-time",
			Value:  o.OfferTime.String(),
			Reason: "is not between 0s and " + intake.MaxOfferTime.String(),
		}
	}
	if o.OutageTimeout < 0 || o.OutageTimeout > witness.Limit {
		return &OptionError{
			Name:   "outage-timeout",
			Value:  o.OutageTimeout.String(),
			Reason: "is not between 0s and " + witness.Limit.String() + ", the longest time that other entries allow for",
		}
	}
	return nil
}
