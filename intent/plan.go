package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/state"
)

// States of a plan.
const (
	StateAborted   State = "aborted"
	StateConfirmed State = "confirmed"
	StateDone      State = "done"
	StatePaused    State = "paused"
	StateProposed  State = "proposed"

	// StateStopped means that the plan stopped itself and waits for an
	// operator's word.
	StateStopped State = "stopped"
)

// Actions on an instance.
const (
	// ActionHold drains and keeps out.
	ActionHold Action = "hold"

	// ActionMove drains and changes the pool.
	ActionMove Action = "move"

	// ActionReboot drains, reboots and readmits.
	ActionReboot Action = "reboot"

	// ActionReturn readmits.
	ActionReturn Action = "return"
)

// Action is what a plan does to each of its instances.
type Action string

// Base is the state that a plan stands on.
type Base struct {
	// Instances maps each instance of the plan to its row's version.
	Instances map[string]int64 `json:"instances,omitempty"`

	// Config is the configuration's version.
	Config int64 `json:"config"`
}

// ChangedError reports a plan whose base changed since it was computed.
type ChangedError struct {
	Plan string

	// Changes says, one line each, what changed and who did it.
	Changes []string
}

// ConflictError reports a plan that shares instances with an active one.
type ConflictError struct {
	Plan     string
	Other    string
	Operator string

	// Instances are shared by both, sorted.
	Instances []string
}

// Cost is what a plan is expected to cost.
type Cost struct {
	// Moves is the number of times an instance leaves service.
	Moves int `json:"moves"`

	// BufferCost is the number of instances that must be spare, beside the
	// budgets, at the worst moment: those out and those held in reserve.
	BufferCost int `json:"buffer_cost"`

	// RollOutMillis is the expected time to completion in milliseconds.
	RollOutMillis int64 `json:"roll_out_ms"`
}

// DigestError reports a confirmation that names another plan.
type DigestError struct {
	Plan string
	Want string
	Have string
}

// Plan is the answer to an intent.
type Plan struct {
	ID     string `json:"id"`
	Intent Intent `json:"intent"`
	Action Action `json:"action,omitempty"`

	// To is the pool that instances move to; empty unless Action is
	// ActionMove.
	To   string `json:"to,omitempty"`
	Base Base   `json:"base"`

	// Waves are done in order; each instance stands in exactly one.
	Waves [][]string `json:"waves,omitempty"`

	// Budgets lists the pools touched with their budget.
	Budgets map[string]int `json:"budgets,omitempty"`

	Cost Cost `json:"cost"`

	// Digest is the SHA-256 of everything above, in hexadecimal.
	Digest string `json:"digest"`

	State State `json:"state"`

	// Reason says why the plan is in its state.
	Reason string `json:"reason,omitempty"`

	// Failures counts the instances that did not come back, since the last
	// resume.
	Failures int `json:"failures,omitempty"`

	// Created, Confirmed and Ended are in milliseconds since the Unix epoch;
	// 0 where it has not come to it.
	Created   int64 `json:"created"`
	Confirmed int64 `json:"confirmed,omitempty"`
	Ended     int64 `json:"ended,omitempty"`

	// ConfigVersion is the version that a rollout put in force.
	ConfigVersion int64 `json:"config_version,omitempty"`
}

// State is where a plan is.
type State string

// StateError reports a verb that the plan's state does not allow.
type StateError struct {
	Plan  string
	State State
	Verb  string
}

// Error implements error.
func (e *ChangedError) Error() string {
	return fmt.Sprintf("plan %s stands on a state that changed; make a new plan: %s", e.Plan, strings.Join(e.Changes, "; "))
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("plan %s shares %s with plan %s of %s, which is active: wait for it or abort it", e.Plan, strings.Join(e.Instances, ", "), e.Other, e.Operator)
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("plan %s has digest %s, not %s: look at the plan again and confirm what it shows", e.Plan, e.Want, e.Have)
}

// Error implements error.
func (e *StateError) Error() string {
	return fmt.Sprintf("plan %s is %s and can't be %s", e.Plan, e.State, e.Verb)
}

// Active reports whether the plan may still change something.
func (p *Plan) Active() bool {
	return p.State == StateConfirmed || p.State == StatePaused || p.State == StateStopped
}

// DoneWith reports whether the plan has nothing left to do with the instance,
// as far as the view knows.
func (p *Plan) DoneWith(view *state.View, id string) bool {
	instance, found := view.Instances[id]
	if !found {
		return true
	}
	serving := instance.Phase == fleet.PhaseServing && instance.Plan == ""
	switch p.Action {
	case ActionHold:
		return instance.Phase == fleet.PhaseDrained && instance.Plan == p.ID
	case ActionMove:
		return serving && instance.Pool == p.To
	case ActionReturn:
		return serving
	default:
		// Only this plan may have touched the row since the confirmation.
		touched := view.Rows[fleet.InstanceKey(id)].Version > p.Base.Instances[id]
		return instance.Phase == fleet.PhaseFailed || (serving && touched)
	}
}

// Instances returns every instance of the plan, in order of waves.
func (p *Plan) Instances() []string {
	var all []string
	for _, wave := range p.Waves {
		all = append(all, wave...)
	}
	return all
}

// Seal sets the digest.
func (p *Plan) Seal() error {
	sealed := *p
	sealed.Digest = ""
	sealed.State = ""
	body, err := json.Marshal(sealed)
	if err != nil {
		return fmt.Errorf("encoding plan: %w", err)
	}
	sum := sha256.Sum256(body)
	p.Digest = hex.EncodeToString(sum[:8])
	return nil
}

// RollOut returns the expected time to completion.
func (c Cost) RollOut() time.Duration {
	return time.Duration(c.RollOutMillis) * time.Millisecond
}
