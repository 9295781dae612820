// Package share divides short room among those who ask for it, and meters what they ask for.
// It does no I/O and reads no clock.
package share
