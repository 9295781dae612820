package share

import (
	"cmp"
	"math"
	"slices"
)

// Demand is what somebody asks for.
type Demand struct {
	// Amount is in the unit of the capacity. Negative ones and NaN count as none.
	Amount float64
	// Weight is the claim's part of short capacity compared with the others'; what isn't above 0
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

// Divide returns each claim's part of the capacity by weighted max-min: nobody gets more than
// the demand, and what one leaves is divided among the others by weight. So a claim whose demand
// is below its weight's part of the capacity gets all of it, whatever the others ask for.
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
