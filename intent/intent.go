// Package intent turns what an operator wants into a plan: ordered waves, the
// budgets they touch, the expected cost, and a digest that names exactly this
// plan. It is pure; nothing changes until the plan is confirmed.
package intent

import (
	"fmt"
	"slices"
)

// Kinds of intent.
const (
	// Drain takes instances out of service and keeps them out.
	Drain Kind = "drain"

	// Grow moves instances from other pools into a pool.
	Grow Kind = "grow"

	// Maintain drains, reboots and readmits instances.
	Maintain Kind = "maintain"

	// Move moves named instances into a pool.
	Move Kind = "move"

	// Return readmits drained instances.
	Return Kind = "return"

	// Rollout puts a configuration in force.
	Rollout Kind = "rollout"

	// Shrink moves instances of a pool to the spare pool.
	Shrink Kind = "shrink"
)

// Scopes name a set of instances.
const (
	ScopeAll      Scope = "all"
	ScopeInstance Scope = "instance"
	ScopePool     Scope = "pool"
	ScopeRack     Scope = "rack"
	ScopeZone     Scope = "zone"
)

// SparePool holds the instances that no service runs on.
const SparePool = "spare"

// Intent is what an operator wants.
type Intent struct {
	Kind  Kind   `json:"kind"`
	Scope Scope  `json:"scope,omitempty"`
	Name  string `json:"name,omitempty"`

	// Pool is where instances go, for Grow and Move.
	Pool string `json:"pool,omitempty"`

	// Count is the number of instances, for Grow and Shrink; at least 1.
	Count int `json:"count,omitempty"`

	// Config is the new configuration, for Rollout.
	Config string `json:"config,omitempty"`

	// Operator is who asks.
	Operator string `json:"operator"`
}

// InvalidError reports an intent that cannot be understood.
type InvalidError struct {
	Reason string
}

// Kind says what is to happen.
type Kind string

// Scope says how Name is meant.
type Scope string

// Error implements error.
func (e *InvalidError) Error() string {
	return "intent refused: " + e.Reason
}

// Check returns an *InvalidError when the intent cannot be understood.
func (i Intent) Check() error {
	scopes := []Scope{ScopeAll, ScopeInstance, ScopePool, ScopeRack, ScopeZone}
	switch i.Kind {
	case Drain, Maintain, Return, Move:
		if !slices.Contains(scopes, i.Scope) {
			return invalid("scope %q is none of %v", i.Scope, scopes)
		}
		if i.Name == "" && i.Scope != ScopeAll {
			return invalid("name the %s", i.Scope)
		}
		if i.Kind == Move && i.Pool == "" {
			return invalid("name the pool to move to")
		}
	case Grow, Shrink:
		if i.Pool == "" || i.Count < 1 {
			return invalid("name a pool and a count of at least 1")
		}
	case Rollout:
		if i.Config == "" {
			return invalid("the configuration is empty")
		}
	default:
		return invalid("kind %q is not known", i.Kind)
	}
	return nil
}

// String returns the intent as an operator would say it.
func (i Intent) String() string {
	switch i.Kind {
	case Rollout:
		return "roll out a configuration"
	case Grow, Shrink:
		return fmt.Sprintf("%s pool %s by %d", i.Kind, i.Pool, i.Count)
	case Move:
		return fmt.Sprintf("move %s %s to pool %s", i.Scope, i.Name, i.Pool)
	default:
		return fmt.Sprintf("%s %s %s", i.Kind, i.Scope, i.Name)
	}
}

func invalid(format string, args ...any) error {
	return &InvalidError{
		Reason: fmt.Sprintf(format, args...),
	}
}
