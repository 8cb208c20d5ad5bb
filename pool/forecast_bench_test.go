package pool_test

import (
	"fmt"
	"testing"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/pool"
	"lemonstream.dev/lemonstream/shard"
)

// BenchmarkPlanManyPools plans for 52 services with turns and 349 instances, with and without the
// forecast.
func BenchmarkPlanManyPools(b *testing.B) {
	const services, instances = 52, 349
	for _, withForecast := range []bool{false, true} {
		b.Run(fmt.Sprintf("forecast=%v", withForecast), func(b *testing.B) {
			f := newFleet(nil)
			opts := sizerOptions(moveTime)
			opts.Forecast = withForecast
			f.sizer = pool.NewSizer(opts)
			f.view.Services = f.view.Services[2:]
			for i := range services {
				f.view.Services = append(f.view.Services, pool.Service{
					Name:  fmt.Sprintf("service-%02d", i),
					Known: true,
					Load: shard.Load{
						Workers: make(map[string]shard.WorkerLoad),
					},
				})
			}
			for i := range instances {
				f.view.Instances = append(f.view.Instances, outside.Instance{
					ID:       fmt.Sprintf("i%03d", i),
					Pool:     asleep,
					State:    outside.InstanceUp,
					Capacity: instanceCapacity,
				})
			}
			round := 0
			for b.Loop() {
				round++
				for i := range services {
					f.view.Services[i+1].Load.Used = cpu(1)
					if round/22%4 == i%4 {
						f.view.Services[i+1].Load.Used = cpu(20 * 4)
					}
				}
				f.plan()
			}
			if state, on := f.sizer.Forecast(); on && round > 1000 && !state.Active {
				b.Fatal("the benchmark runs without a forecast")
			}
		})
	}
}
