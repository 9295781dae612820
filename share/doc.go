// Package share divides short room among those who ask for it, meters what they ask for, and
// learns what they usually get.
// It does no I/O and reads no clock.
package share
