package intent

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"lemonstream.dev/lemonstream/budget"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/config"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/wave"
)

// Expected durations of one wave, used for the estimate of roll-out time only.
const (
	expectedDrain  = 5 * time.Second
	expectedReboot = 2 * time.Minute
	expectedSpread = 2 * time.Second
)

// widths are the numbers of instances of one pool in a wave that are weighed;
// 0 leaves it to the budgets.
var widths = [...]int{1, 2, 3, 4, 6, 8, 16, 0}

// Planner computes plans over one view.
type Planner struct {
	View *state.View

	// Suspects are instances that entries see failing, whatever the list says.
	Suspects map[string]bool
}

// Make returns the plan for the intent, in the proposed state. It returns an
// *InvalidError for an intent that cannot be understood, and a
// *wave.InfeasibleError for one that no order of waves can carry out.
func (p Planner) Make(id string, i Intent, now time.Time) (*Plan, error) {
	if err := i.Check(); err != nil {
		return nil, err
	}
	plan := &Plan{
		ID:     id,
		Intent: i,
		Base: Base{
			Config: p.View.Config.Version,
		},
		State:   StateProposed,
		Created: clock.Millis(now),
	}
	if err := p.fill(plan); err != nil {
		return nil, err
	}
	return plan, plan.Seal()
}

// Pool returns the pool as the budget sees it now. Who belongs to the pool and
// who is out is read from the pool's own row, because that is the row that a
// permit depends on; an instance's row may only add to who is out.
func (p Planner) Pool(name string) budget.Pool {
	pool := budget.Pool{
		Name:         name,
		Least:        p.View.Config.MinAvailable(name),
		ReserveRacks: p.View.Config.Waves.ReserveRacks,
	}
	row := p.View.Pools[name]
	for id := range row.Members {
		instance, known := p.View.Instances[id]
		pool.Instances = append(pool.Instances, budget.Instance{
			ID:   id,
			Rack: instance.Rack,
			Out:  !known || instance.Phase != fleet.PhaseServing || row.Out[id] != "",
			Lost: p.View.Lost(id) || p.Suspects[id],
		})
	}
	sort.Slice(pool.Instances, func(i, j int) bool { return pool.Instances[i].ID < pool.Instances[j].ID })
	return pool
}

// CheckBudgets returns an *InvalidError when a pool has fewer instances that
// serve now than a configuration with these budgets would ask for.
func (p Planner) CheckBudgets(budgets map[string]int) error {
	for _, name := range slices.Sorted(maps.Keys(budgets)) {
		if available := p.Pool(name).Available(); available < budgets[name] {
			return invalid("pool %s would need %d available instances and has %d: grow the pool first, or wait for a plan to end", name, budgets[name], available)
		}
	}
	return nil
}

func (p Planner) fill(plan *Plan) error {
	switch plan.Intent.Kind {
	case Rollout:
		return p.fillRollout(plan)
	case Return:
		plan.Action = ActionReturn
		return p.fillWaves(plan, p.scope(plan.Intent, fleet.PhaseDrained, fleet.PhaseFailed), true)
	case Maintain:
		plan.Action = ActionReboot
		return p.fillWaves(plan, p.scope(plan.Intent, fleet.PhaseServing), false)
	case Drain:
		plan.Action = ActionHold
		return p.fillWaves(plan, p.scope(plan.Intent, fleet.PhaseServing), true)
	case Move:
		plan.Action = ActionMove
		plan.To = plan.Intent.Pool
		return p.fillWaves(plan, p.movable(plan.Intent), true)
	case Grow:
		plan.Action = ActionMove
		plan.To = plan.Intent.Pool
		return p.fillGrow(plan)
	default:
		plan.Action = ActionMove
		return p.fillShrink(plan)
	}
}

// fillGrow takes instances from the spare pool first, then from the pools
// with the most room, so that the fewest instances that work are disturbed.
func (p Planner) fillGrow(plan *Plan) error {
	sources := p.poolsByRoom(plan.Intent.Pool)
	var chosen []string
	for _, source := range sources {
		room := p.room(source)
		for _, id := range p.spread(source) {
			if len(chosen) == plan.Intent.Count || room == 0 {
				break
			}
			chosen = append(chosen, id)
			room--
		}
	}
	if len(chosen) < plan.Intent.Count {
		return invalid("only %d instances can be spared by other pools for pool %s", len(chosen), plan.Intent.Pool)
	}
	return p.fillWaves(plan, chosen, true)
}

func (p Planner) fillRollout(plan *Plan) error {
	next, err := config.Parse("configuration", []byte(plan.Intent.Config), p.View.Config.Version+1)
	if err != nil {
		return err
	}
	plan.Budgets = make(map[string]int)
	for _, service := range next.Services {
		plan.Budgets[service.Pool] = max(plan.Budgets[service.Pool], service.MinAvailable)
	}
	plan.Cost = Cost{
		RollOutMillis: expectedSpread.Milliseconds(),
	}
	return p.CheckBudgets(plan.Budgets)
}

func (p Planner) fillShrink(plan *Plan) error {
	candidates := p.spread(plan.Intent.Pool)
	if len(candidates) < plan.Intent.Count {
		return invalid("pool %s has only %d instances that serve", plan.Intent.Pool, len(candidates))
	}
	plan.To = SparePool
	return p.fillWaves(plan, candidates[:plan.Intent.Count], true)
}

// fillWaves orders ids into waves; stay says that they do not come back while
// the plan runs.
func (p Planner) fillWaves(plan *Plan, ids []string, stay bool) error {
	if len(ids) == 0 {
		return invalid("no instance is in a state to %s", plan.Intent)
	}
	plan.Base.Instances = make(map[string]int64, len(ids))
	plan.Budgets = make(map[string]int)
	pools := make(map[string]budget.Pool)
	items := make([]wave.Item, 0, len(ids))
	for _, id := range ids {
		instance := p.View.Instances[id]
		plan.Base.Instances[id] = p.View.Rows[fleet.InstanceKey(id)].Version
		items = append(items, wave.Item{
			ID:   id,
			Pool: instance.Pool,
			Rack: instance.Rack,
			Zone: instance.Zone,
		})
		if _, found := pools[instance.Pool]; !found {
			pools[instance.Pool] = p.Pool(instance.Pool)
			plan.Budgets[instance.Pool] = pools[instance.Pool].Least
		}
	}
	return p.chooseWaves(plan, items, pools, stay)
}

// chooseWaves orders the items with several widths and keeps the waves that
// weigh least by the deployment's weights.
func (p Planner) chooseWaves(plan *Plan, items []wave.Item, pools map[string]budget.Pool, stay bool) error {
	reserve := 0
	for _, pool := range pools {
		reserve += pool.Reserve(nil)
	}
	least := math.Inf(1)
	var failure error
	for _, width := range widths {
		waves, err := wave.Plan(items, pools, wave.Policy{
			First:  p.View.Config.Waves.First,
			Growth: p.View.Config.Waves.Growth,
			Width:  width,
		}, stay)
		if err != nil {
			failure = err
			continue
		}
		cost := p.cost(plan.Action, waves, reserve, stay)
		if weight := p.weigh(cost, len(items)); weight < least {
			least = weight
			plan.Waves = waves
			plan.Cost = cost
		}
	}
	if plan.Waves == nil {
		return failure
	}
	return nil
}

// weigh puts buffer cost and roll-out time on one scale: the buffer as a part
// of the instances, the time as a part of that of one instance at a time.
func (p Planner) weigh(cost Cost, items int) float64 {
	weights := p.View.Config.Weights
	buffer := float64(cost.BufferCost) / float64(max(len(p.View.Instances), 1))
	serial := float64(items) * (expectedDrain + expectedReboot).Seconds()
	return weights.Buffer*buffer + weights.RollOut*cost.RollOut().Seconds()/serial
}

// cost returns what the waves are expected to cost.
func (p Planner) cost(action Action, waves [][]string, reserve int, stay bool) Cost {
	if action == ActionReturn {
		return Cost{
			RollOutMillis: expectedSpread.Milliseconds(),
		}
	}
	each := expectedDrain
	if action == ActionReboot {
		each += expectedReboot
	}
	moves := 0
	for _, ids := range waves {
		moves += len(ids)
	}
	return Cost{
		Moves:         moves,
		BufferCost:    wave.Peak(waves, stay) + reserve,
		RollOutMillis: int64(len(waves)) * each.Milliseconds(),
	}
}

// movable returns the instances of the scope that are not in the target pool
// already.
func (p Planner) movable(i Intent) []string {
	return slices.DeleteFunc(p.scope(i, fleet.PhaseServing), func(id string) bool {
		return p.View.Instances[id].Pool == i.Pool
	})
}

// poolsByRoom returns the pools that could give instances, those with the most
// room first and the spare pool before all.
func (p Planner) poolsByRoom(target string) []string {
	var names []string
	for name := range p.View.Pools {
		if name != target {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		if (names[i] == SparePool) != (names[j] == SparePool) {
			return names[i] == SparePool
		}
		if a, b := p.room(names[i]), p.room(names[j]); a != b {
			return a > b
		}
		return names[i] < names[j]
	})
	return names
}

// room returns how many instances the pool could give at once.
func (p Planner) room(name string) int {
	pool := p.Pool(name)
	return max(0, pool.Available()-pool.Least-pool.Reserve(nil))
}

// scope returns the instances of the intent's scope in one of the phases,
// sorted.
func (p Planner) scope(i Intent, phases ...fleet.Phase) []string {
	var ids []string
	for id, instance := range p.View.Instances {
		if !slices.Contains(phases, instance.Phase) {
			continue
		}
		named := map[Scope]string{
			ScopeInstance: id,
			ScopePool:     instance.Pool,
			ScopeRack:     instance.Rack,
			ScopeZone:     instance.Zone,
		}
		if i.Scope == ScopeAll || named[i.Scope] == i.Name {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// spread returns the pool's serving instances, those of the fullest racks
// first, so that what remains is spread as evenly as can be.
func (p Planner) spread(pool string) []string {
	racks := make(map[string][]string)
	for _, id := range p.View.InPool(pool) {
		instance := p.View.Instances[id]
		if instance.Phase == fleet.PhaseServing && !p.View.Lost(id) {
			racks[instance.Rack] = append(racks[instance.Rack], id)
		}
	}
	var order []string
	for len(racks) > 0 {
		fullest := ""
		for rack, ids := range racks {
			if fullest == "" || len(ids) > len(racks[fullest]) || (len(ids) == len(racks[fullest]) && rack < fullest) {
				fullest = rack
			}
		}
		ids := racks[fullest]
		order = append(order, ids[len(ids)-1])
		racks[fullest] = ids[:len(ids)-1]
		if len(racks[fullest]) == 0 {
			delete(racks, fullest)
		}
	}
	return order
}

// Describe returns the plan's waves as lines for an operator.
func (p *Plan) Describe() []string {
	lines := make([]string, 0, len(p.Waves))
	for number, ids := range p.Waves {
		lines = append(lines, fmt.Sprintf("wave %d: %s %v", number+1, p.Action, ids))
	}
	return lines
}
