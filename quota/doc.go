// Package quota divides fleet-wide limits among the entries, so that an entry can admit a
// request without asking another entry.
//
// Each entry reports its demand to its peers in heartbeats. From the reports it received
// it computes its own share of a limit: RateShare for a rate, TaskShare for a number of
// running tasks. If all entries have the same view, the shares add up to at most the
// limit. Limiter limits a team to this entry's share of the team's quota.
//
// Two rules keep the sum of the shares low while views differ. First, a failure domain
// without a live entry in the view keeps its equal part of the limit, because its entries
// may be alive behind a partition and use that part. Second, an entry counts its own
// demand only once all peers have received it (Demand), so that the peers reduce their
// shares before the entry increases its own.
//
// The package does no I/O and reads no clock.
package quota
