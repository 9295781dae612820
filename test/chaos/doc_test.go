// Package chaos proves the promises under partitions, platform outages, pairs of
// failures and a random schedule of failures.
package chaos
