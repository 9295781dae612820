// Package policy measures how well coordinators and executors decide under load. It runs the state
// machines of many daemons against simulated workers and callers, in simulated time. Each test names
// its pattern of load. The simulation uses no network and no system clock, so that a seed always
// gives the same results.
package policy
