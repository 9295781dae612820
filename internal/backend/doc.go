// Package backend calls workers over HTTP. Each failure reports whether the task may have run.
package backend
