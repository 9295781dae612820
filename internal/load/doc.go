// Package load sends jobs to entries at a fixed mean rate and measures the results for the callers:
// the response time relative to the ideal one, refusals, failures and wasted messages.
//
// The load is open: the package sends a job when it is due, whether or not earlier jobs are answered.
// So a slow system can't hide its delays by slowing the load down.
package load
