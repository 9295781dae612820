// Package measure measures what a daemon costs beside its work, with real processes.
// Its benchmarks run for many seconds each:
//
//	go test ./test/measure -run '^$' -bench . -benchtime 1x
package measure
