package pool_test

import "testing"

// BenchmarkPlanLargeFleet plans for 6,000 instances. In "shrinks" most awake instances are no
// longer needed; in "grows" a service needs some hundreds of the sleeping ones.
func BenchmarkPlanLargeFleet(b *testing.B) {
	for name, counts := range map[string]map[string]int{
		"shrinks": {"a": 2500, "b": 2500, asleep: 1000},
		"grows":   {"a": 100, "b": 100, asleep: 5800},
	} {
		b.Run(name, func(b *testing.B) {
			f := newFleet(counts)
			f.plan()
			if name == "grows" {
				f.service("a").Load.Used = cpu(100 * 16)
				f.service("a").Load.Waiting = cpu(300 * 16)
			}
			for b.Loop() {
				f.plan()
			}
		})
	}
}
