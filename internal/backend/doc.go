// Package backend calls workers over HTTP and says for every failure whether the
// task may have run.
package backend
