// Package stop tests planned stops of entries, submissions whose owner is gone, pauses of entries, and
// backend servers that leave. It runs real processes.
package stop
