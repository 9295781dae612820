// Package loan tests the lending of slots between entries, with real processes.
package loan
