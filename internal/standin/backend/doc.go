// Package backend implements stand-ins of backend servers for tests, the dev command and load runs. A
// stand-in has slots, a connection limit and run times. Tests can make it fail, refuse or stall tasks.
// It counts every start by submission and task, as a record of which tasks really ran and how often.
package backend
