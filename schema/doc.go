// Package schema holds the messages between processes, the caller's messages and
// the settings. The Go code is generated from the .proto files beside it by
// schema/generate.sh and committed.
package schema
