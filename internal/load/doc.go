// Package load drives jobs at a set rate against entries and measures what their
// callers see: response time over the ideal, refusals, failures and wasted messages.
//
// The load is open: jobs are sent when they are due, whether or not earlier ones were
// answered, so a slow system can't hide its delays by slowing its load.
package load
