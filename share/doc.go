// Package share divides scarce capacity among demands: by weighted max-min fairness (Divide), or by the
// shares that each demand had before (LearnedShares). Meter measures the rate of each demand.
//
// The package does no I/O and reads no clock.
package share
