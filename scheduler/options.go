package scheduler

import (
	"fmt"
	"strconv"
	"time"

	"lemonstream.dev/lemonstream/intake"
	"lemonstream.dev/lemonstream/outlier"
	"lemonstream.dev/lemonstream/witness"
)

// probeAfterLeast is the shortest time to the first probe of an ejected worker: what ran there at
// its ejection has to end first.
const probeAfterLeast = 100 * time.Millisecond

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

	// EjectShare is the maximum share of a service's workers that are ejected at one time because
	// they fail what they start; 0 ejects none. See outlier.Options.
	EjectShare float64

	// ProbeAfter is the time from the ejection of a worker to its first probe.
	ProbeAfter time.Duration

	// OrganisationWeights says that organisations with waiting work share room by their weights.
	OrganisationWeights bool

	// OutageOrders lets sleeping instances be ordered while the store is away, and counts the
	// demand of jobs that are refused meanwhile.
	OutageOrders bool

	// MaxCallers is how many connections of callers may be open at one time; 0 stands for a share
	// of the descriptors.
	MaxCallers int

	// ConnMemory is the share of the machine's memory that connections to this entry may hold.
	ConnMemory float64

	// HeaderLines is how many lines the head of a request may have.
	HeaderLines int

	// ReceiveBuffer is how many bytes the system keeps of what has arrived on a connection of a
	// caller and was not read.
	ReceiveBuffer int

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
	if !(o.EjectShare >= 0 && o.EjectShare <= outlier.MaxShare) {
		return &OptionError{
			Name:   "eject-share",
			Value:  strconv.FormatFloat(o.EjectShare, 'g', -1, 64),
			Reason: fmt.Sprintf("is not between 0 and %g", outlier.MaxShare),
		}
	}
	if o.ProbeAfter < probeAfterLeast || o.ProbeAfter > outlier.MaxProbeAfter {
		return &OptionError{
			Name:   "probe-after",
			Value:  o.ProbeAfter.String(),
			Reason: fmt.Sprintf("is not between %v and %v", probeAfterLeast, outlier.MaxProbeAfter),
		}
	}
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
	if err := o.checkConnections(); err != nil {
		return err
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
