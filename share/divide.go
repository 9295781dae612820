package share

import (
	"cmp"
	"math"
	"slices"
)

// Demand is a request for a part of the capacity.
type Demand struct {
	// Amount is in the unit of the capacity. Negative amounts and NaN count as 0.
	Amount float64
	// Weight is the part of scarce capacity relative to the other demands. A weight that is not above 0
	// counts as 1.
	Weight float64
}

func (c Demand) amount() float64 {
	if c.Amount > 0 {
		return c.Amount
	}
	return 0
}

func (c Demand) weight() float64 {
	if c.Weight > 0 && !math.IsInf(c.Weight, 1) {
		return c.Weight
	}
	return 1
}

// Divide returns the part of the capacity for each demand, by weighted max-min fairness. No demand gets
// more than its amount, and what one does not use is divided among the others by weight. So a demand below
// its weight's part of the capacity is met in full, whatever the others demand.
func Divide(capacity float64, demands []Demand) []float64 {
	order := make([]int, len(demands))
	weights := 0.0
	for i, d := range demands {
		order[i] = i
		weights += d.weight()
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(demands[a].amount()/demands[a].weight(), demands[b].amount()/demands[b].weight())
	})
	shares := make([]float64, len(demands))
	left := max(capacity, 0)
	for _, i := range order {
		d := demands[i]
		shares[i] = min(d.amount(), left*d.weight()/weights, left)
		left -= shares[i]
		weights -= d.weight()
	}
	return shares
}
