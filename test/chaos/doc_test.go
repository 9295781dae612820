// Package chaos contains the integration tests of the guarantees to callers under partitions, platform
// outages, pairs of failures and a random schedule of failures.
package chaos
