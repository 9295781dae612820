// Package loan tests with real processes that entries lend slots to each other.
package loan
