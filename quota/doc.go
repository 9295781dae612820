// Package quota divides limits of the whole fleet among its entries, so that no entry
// asks another one for a request.
//
// Each entry tells its peers its demand on heartbeats and computes its own share from
// what it heard: RateShare for a rate, TaskShare for a number of running tasks. With equal
// views the shares add up to the limit at most. Limiter holds a team to this entry's
// share of its quota.
//
// Two rules keep the sum low while views differ. A failure domain of which no entry
// is heard keeps its equal part of the limit: behind a partition its entries may be
// alive and use it. And an entry counts its own demand only once all peers have heard
// of it (Demand): the peers give way first, the entry grows after.
//
// The package does no I/O and reads no clock.
package quota
