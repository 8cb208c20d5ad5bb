// Package operate is the operators' interface of an entry: plans, what the
// entry knows, health and metrics, over HTTP with JSON.
package operate

import (
	"time"

	"lemonstream.dev/lemonstream/burn"
	"lemonstream.dev/lemonstream/control"
	"lemonstream.dev/lemonstream/intent"
)

// Paths of the interface.
const (
	PathConfig    = "/v1/config"
	PathInstances = "/v1/instances"
	PathJobs      = "/v1/jobs"
	PathLive      = "/livez"
	PathMembers   = "/v1/members"
	PathMetrics   = "/metrics"
	PathPlans     = "/v1/plans"
	PathPools     = "/v1/pools"
	PathReady     = "/readyz"
	PathReport    = "/v1/report"
	PathServices  = "/v1/services"
)

// Codes of a problem, one for each way in which an operator's request fails.
const (
	CodeBudget      = "budget"
	CodeChanged     = "changed"
	CodeConflict    = "conflict"
	CodeDigest      = "digest"
	CodeInvalid     = "invalid"
	CodeNoPlan      = "no-plan"
	CodeRaced       = "raced"
	CodeState       = "state"
	CodeUnavailable = "unavailable"
	CodeInternal    = "internal"
)

// ConfirmRequest confirms a plan.
type ConfirmRequest struct {
	// Digest must be that of the plan that the operator saw.
	Digest string `json:"digest"`
}

// ConfigAnswer is the configuration in force at the asked entry.
type ConfigAnswer struct {
	Version  int64     `json:"version"`
	Accepted time.Time `json:"accepted"`
	Body     string    `json:"body"`
}

// InstanceAnswer is one instance as the asked entry knows it.
type InstanceAnswer struct {
	ID      string `json:"id"`
	Pool    string `json:"pool"`
	Rack    string `json:"rack"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Phase   string `json:"phase"`
	Plan    string `json:"plan,omitempty"`

	// Listed is what the platform's list says; empty where it is absent.
	Listed string `json:"listed"`
	Boot   int64  `json:"boot"`
}

// MemberAnswer is one entry as the asked entry knows it.
type MemberAnswer struct {
	ID        string `json:"id"`
	Zone      string `json:"zone,omitempty"`
	Operators string `json:"operators"`

	// Config is the version of the configuration in force there; 0 where it
	// was not heard.
	Config int64 `json:"config"`

	// Heard is false for an entry that the table counts and nobody hears.
	Heard bool `json:"heard"`
}

// PlanAnswer is a plan with its progress.
type PlanAnswer struct {
	intent.Plan

	// Done and Total count instances; both are 0 for a rollout.
	Done  int `json:"done"`
	Total int `json:"total"`
}

// PoolAnswer is one pool.
type PoolAnswer struct {
	Name      string `json:"name"`
	Instances int    `json:"instances"`
	Available int    `json:"available"`
	Least     int    `json:"least"`
	Reserve   int    `json:"reserve"`

	// Free is how many instances may leave now.
	Free int `json:"free"`
}

// Problem is the body of a failed request, in the form of RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Code   string `json:"code"`
}

// ProblemError is a problem as a client gets it.
type ProblemError struct {
	Problem Problem
}

// ReportAnswer is the report on service-level burn.
type ReportAnswer struct {
	// Services are sorted by name.
	Services []ServiceReport `json:"services"`

	// Entries are those whose counts are in the report, Missing those that
	// did not answer: their last seconds are not in it.
	Entries []string `json:"entries"`
	Missing []string `json:"missing,omitempty"`

	// Plans ran in the longest window.
	Plans []string `json:"plans,omitempty"`
}

// ServiceAnswer is one service.
type ServiceAnswer struct {
	Name         string  `json:"name"`
	Pool         string  `json:"pool"`
	MinAvailable int     `json:"min_available"`
	Objective    float64 `json:"objective"`
}

// ServiceReport is the burn of one service.
type ServiceReport struct {
	Service   string       `json:"service"`
	Objective float64      `json:"objective"`
	Windows   []burn.Spend `json:"windows"`
}

// VerbRequest pauses, resumes or aborts a plan.
type VerbRequest struct {
	Verb     control.Verb `json:"verb"`
	Operator string       `json:"operator"`
}

// Error implements error.
func (e *ProblemError) Error() string {
	return e.Problem.Detail
}
