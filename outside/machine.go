package outside

import (
	"context"
	"fmt"
	"time"

	"lemonstream.dev/lemonstream/job"
)

// States of a machine.
const (
	MachineDown        MachineState = "down"
	MachineMaintenance MachineState = "maintenance"
	MachineMoving      MachineState = "moving"
	MachineUp          MachineState = "up"
)

// Reasons for which a machine is not touched.
const (
	MachineBusy   MachineRefusal = "busy"
	MachineFence  MachineRefusal = "fence"
	MachineNoWave MachineRefusal = "wave"
)

// Advice is the seam to the service that knows which workers may run a step.
type Advice struct {
	// Ask returns a ticket for each worker that may run the step.
	Ask func(ctx context.Context, step string, workers []string) (Tickets, error)
}

// Machine is one machine of the fleet; a worker is one life of it.
type Machine struct {
	ID       string
	Pool     string
	State    MachineState
	Zone     string
	Rack     string
	Labels   []string
	Capacity job.Room

	// Worker is the id of the life that runs; empty where none does.
	Worker string
}

// MachineRefusal is why an order for a machine was refused.
type MachineRefusal string

// MachineState is what a machine is doing.
type MachineState string

// Machines is the seam to the machines.
type Machines struct {
	List func(ctx context.Context) ([]Machine, error)

	// Move puts a machine into another pool; what runs there dies.
	Move func(ctx context.Context, machine, pool string, holder string, fence int64) error

	// Maintain starts the maintenance of a machine that a wave asked for; what
	// runs there dies.
	Maintain func(ctx context.Context, machine string, wave int64, holder string, fence int64) error
}

// Tickets are permissions to start tasks of one step.
type Tickets struct {
	// ByWorker maps a worker's id to its ticket.
	ByWorker map[string]string

	// Valid is how long the tickets hold.
	Valid time.Duration
}

// Wave is the operator's request that machines be maintained.
type Wave struct {
	Number   int64
	Machines []string

	// Within is how long the wave may take.
	Within time.Duration

	// AtOnce is the most machines that may be down for it at one time.
	AtOnce int
}

// MachineRefusedError reports an order for a machine that had no effect.
type MachineRefusedError struct {
	Machine string
	Reason  MachineRefusal
}

// Error implements error.
func (e *MachineRefusedError) Error() string {
	return fmt.Sprintf("machine %s was not touched: %s", e.Machine, e.Reason)
}
