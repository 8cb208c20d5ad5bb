package conns

import "sync"

const (
	// budgetMost is how many second tries and givings up of connections may come at
	// once: all calls under way of an entry, when every connection goes silent.
	budgetMost = 256

	// budgetShare is how many each answered call adds: where answers come late because
	// this process has no processor time, further tries must not use up what is left.
	budgetShare = 0.05
)

// budget bounds what is done beyond the calls themselves where answers do not come.
// It is a retry budget: what is answered earns it.
type budget struct {
	mu   sync.Mutex
	left float64
}

func newBudget() *budget {
	return &budget{
		left: budgetMost,
	}
}

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(budgetMost, b.left+budgetShare)
}

// spend reports whether there is something left for one more.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
