package scheduler

import (
	"fmt"
	"time"
)

// moveCostMost is the most that a move may be said to cost: an instance that is held for longer
// is not sent to sleep in effect.
const moveCostMost = time.Hour

// Options are what an operator sets beside the platform's settings.
type Options struct {
	// MoveCost is what a move of an instance costs; see pool.Options.
	MoveCost time.Duration

	// Forecast says that demand that comes in turns is predicted; see pool.Options.
	Forecast bool
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
	return nil
}
