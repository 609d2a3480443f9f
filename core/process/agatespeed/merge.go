package agatespeed

import "math"

const (
	// evenCode is the code of the usual speed, and codeStep is the difference of the
	// logarithms of two successive codes.
	evenCode = 128
	codeStep = maxLog / (evenCode - 1)
	// weightUnit is the number of units of an encoded weight per sample.
	weightUnit = 4
)

// Encode returns the speed as a code of the ratio, from 1 to 255, and a weight in
// quarters of a sample. Both are 0 if nothing is known.
func (s Speed) Encode() (ratio, weight uint8) {
	weight = uint8(min(s.weight*weightUnit, math.MaxUint8))
	if weight == 0 {
		return 0, 0
	}
	return uint8(evenCode + math.Round(float64(s.log)/codeStep)), weight
}

// Decode returns the speed that was encoded; the zero value if ratio or weight is 0.
func Decode(ratio, weight uint8) Speed {
	if ratio == 0 || weight == 0 {
		return Speed{}
	}
	return Speed{log: float32((int(ratio) - evenCode)) * codeStep, weight: float32(weight) / weightUnit}
}

const (
	// minViews is the number of views from which on the influence of each is bounded.
	// Of two that disagree, nothing tells which is wrong.
	minViews = 3
	// maxViewShare is the maximum weight of one view, as a share of the sum of the
	// others'. It is below 1, so that the median lies among the others.
	maxViewShare = 0.9
	// maxViewDeviation bounds how far a view counts from the median. A view with the
	// maximum share moves the mean by 0.9/1.9 of that, a factor of 1.27.
	maxViewDeviation = 0.5
	// bins is the number of parts of the range of logarithms among which the median is
	// sought.
	bins = 128
)

// Merge returns the speed that several views of different entries give together. If at
// least three of them know the server, one that differs from others that agree moves the
// ratio by a factor of 1.3 at most.
func Merge(views []Speed) Speed {
	var sum, largest float32
	known := 0
	for i := range views {
		if views[i].weight > 0 {
			known++
			sum += views[i].weight
			largest = max(largest, views[i].weight)
		}
	}
	if known == 0 {
		return Speed{}
	}
	limit, median, deviation := largest, 0.0, math.Inf(1)
	if known >= minViews {
		limit = min(largest, maxViewShare*(sum-largest))
		median, deviation = medianOf(views, limit), maxViewDeviation
	}
	var total, weight float64
	for i := range views {
		w := float64(min(views[i].weight, limit))
		total += w * (median + clip(float64(views[i].log)-median, deviation))
		weight += w
	}
	return Speed{log: bounded(total / weight), weight: float32(weight)}
}

// medianOf returns the weighted median of the views' logarithms, to the width of a bin,
// with weights of at most limit.
func medianOf(views []Speed, limit float32) float64 {
	var weights [bins]float32
	var sum float32
	for i := range views {
		w := min(views[i].weight, limit)
		weights[binOf(views[i].log)] += w
		sum += w
	}
	var below float32
	for i, w := range weights {
		below += w
		if 2*below >= sum {
			return (float64(i)+0.5)*2*maxLog/bins - maxLog
		}
	}
	return 0
}

// binOf returns the bin of a logarithm.
func binOf(log float32) int {
	return min(int((log+maxLog)*bins/(2*maxLog)), bins-1)
}
