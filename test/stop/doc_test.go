// Package stop tests planned stops, the ends of submissions whose owner is gone,
// pauses, and leaving backend servers.
package stop
