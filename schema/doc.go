// Package schema contains the messages between processes, the messages of the caller and operator
// interfaces, the records in the store, and the settings. schema/generate.sh generates the Go code from the
// .proto files in this directory, and the result is committed.
package schema
