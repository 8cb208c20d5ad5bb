package forecast

import "math"

const (
	// scoreSteps is the time constant in steps with which the errors of a period are
	// forgotten, 10 s. A change of the period has to show within about one turn.
	scoreSteps = 50

	// minOverlap is how many steps must have been compared with those one period earlier
	// before the period may be used. With fewer, a turn that the history begins in the
	// middle of is matched at the wrong phase.
	minOverlap = 15

	// shorterMargin is by how much a longer period must be better than a shorter one. A
	// multiple of the period fits as well as the period.
	shorterMargin = 0.75
)

// lagScore compares the demand with the demand one lag earlier. All sums decay.
type lagScore struct {
	// errors sums the deviations from the demand one lag earlier, following those from the
	// demand one horizon earlier, over the same steps.
	errors    float64
	following float64

	// product, own and lagged are the sums of the autocorrelation.
	product float64
	own     float64
	lagged  float64

	// overlap counts the compared steps. It does not decay.
	overlap int
}

// scores holds the score of each lag.
type scores struct {
	lags [maxLag + 1]lagScore

	// means holds the decaying mean of each service's demand.
	means []float64
}

// update compares the last step with the earlier ones.
func (s *scores) update(f *Forecaster) {
	row := f.row(f.last)
	if row == nil {
		return
	}
	s.updateMeans(row)
	following, known := distance(row, f.row(f.last-f.horizon))
	if !known {
		return
	}
	decay := 1 - 1.0/scoreSteps
	for lag := max(minLag, f.horizon+2); lag <= maxLag; lag++ {
		before := f.smoothedRow(f.last - lag)
		errors, known := distance(row, before)
		if !known {
			continue
		}
		score := &s.lags[lag]
		score.errors = decay*score.errors + errors
		score.following = decay*score.following + following
		score.overlap++
		if f.opts.Method != Autocorrelation {
			continue
		}
		product, own, lagged := s.correlate(row, before)
		score.product = decay*score.product + product
		score.own = decay*score.own + own
		score.lagged = decay*score.lagged + lagged
	}
}

// updateMeans updates the mean of each service's demand.
func (s *scores) updateMeans(row []float32) {
	for i, value := range row {
		if i >= len(s.means) {
			s.means = append(s.means, max(0, float64(value)))
		}
		if value >= 0 {
			s.means[i] += (float64(value) - s.means[i]) / scoreSteps
		}
	}
}

// correlate returns the summands of the autocorrelation over all services.
func (s *scores) correlate(row, before []float32) (product, own, lagged float64) {
	for i := range min(len(row), len(before)) {
		if row[i] < 0 || before[i] < 0 {
			continue
		}
		x := float64(row[i]) - s.means[i]
		y := float64(before[i]) - s.means[i]
		product += x * y
		own += x * x
		lagged += y * y
	}
	return product, own, lagged
}

// ratio returns the error at a lag as a share of the error of following, and whether the lag was
// compared for long enough.
func (s *scores) ratio(lag int) (float64, bool) {
	score := s.lags[lag]
	if score.overlap < minOverlap || score.following <= 0 {
		return 0, false
	}
	return score.errors / score.following, true
}

// best returns the lag that fits best by a method, 0 if there is none.
func (s *scores) best(method Method) int {
	best := 0
	least := math.Inf(1)
	for lag := minLag; lag <= maxLag; lag++ {
		value, known := s.ratio(lag)
		if method == Autocorrelation && known {
			score := s.lags[lag]
			value = 1 - score.product/math.Sqrt(max(math.SmallestNonzeroFloat64, score.own*score.lagged))
		}
		margin := shorterMargin
		if lag == best+1 {
			// Neighbours are not multiples: the better one is the period.
			margin = 1
		}
		if known && value < margin*least {
			best = lag
			least = value
		}
	}
	return best
}

// distance returns the sum of the deviations of two rows over the services that both know.
// known is false if they have none in common.
func distance(a, b []float32) (sum float64, known bool) {
	for i := range min(len(a), len(b)) {
		if a[i] < 0 || b[i] < 0 {
			continue
		}
		known = true
		sum += math.Abs(float64(a[i]) - float64(b[i]))
	}
	return sum, known
}
