// Package measure measures what a daemon costs besides the tasks' own work: control traffic, processor
// time and memory. It runs real processes. Its benchmarks run for many seconds each:
//
//	go test ./test/measure -run '^$' -bench . -benchtime 1x
package measure
