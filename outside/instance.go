package outside

import (
	"context"
	"fmt"
	"time"

	"lemonstream.dev/lemonstream/job"
)

// States of an instance.
const (
	InstanceDown        InstanceState = "down"
	InstanceMaintenance InstanceState = "maintenance"
	InstanceMoving      InstanceState = "moving"
	InstanceUp          InstanceState = "up"
)

// Reasons for refusing an order for an instance.
const (
	InstanceBusy   InstanceRefusal = "busy"
	InstanceFence  InstanceRefusal = "fence"
	InstanceNoWave InstanceRefusal = "wave"
)

// Advice is the interface to the service that decides which workers may run a step.
type Advice struct {
	// Ask returns a ticket for each worker that may run the step.
	Ask func(ctx context.Context, step string, workers []string) (Tickets, error)
}

// Instance is one instance of the fleet. Each worker is one incarnation of an instance.
type Instance struct {
	ID       string
	Pool     string
	State    InstanceState
	Zone     string
	Rack     string
	Labels   []string
	Capacity job.Room

	// Worker is the id of the worker that runs on the instance; empty if none does.
	Worker string
}

// InstanceRefusal is why an order for an instance was refused.
type InstanceRefusal string

// InstanceState is the state of an instance.
type InstanceState string

// Instances is the interface to the service that manages the instances.
type Instances struct {
	List func(ctx context.Context) ([]Instance, error)

	// Move moves an instance to another pool, which kills everything that runs on it.
	Move func(ctx context.Context, instance, pool string, holder string, fence int64) error

	// Maintain starts the maintenance of an instance that a wave requested, which kills
	// everything that runs on it.
	Maintain func(ctx context.Context, instance string, wave int64, holder string, fence int64) error
}

// Tickets are permissions to start tasks of one step.
type Tickets struct {
	// ByWorker maps a worker's id to its ticket.
	ByWorker map[string]string

	// Valid is how long the tickets are valid.
	Valid time.Duration
}

// Wave is the operator's request that instances be maintained.
type Wave struct {
	Number    int64
	Instances []string

	// Within is how long the wave may take.
	Within time.Duration

	// AtOnce is the maximum number of instances that the wave may take down at one time.
	AtOnce int
}

// InstanceRefusedError reports an order for an instance that had no effect.
type InstanceRefusedError struct {
	Instance string
	Reason   InstanceRefusal
}

// Error implements error.
func (e *InstanceRefusedError) Error() string {
	return fmt.Sprintf("instance %s was not touched: %s", e.Instance, e.Reason)
}
