// Package table holds the configuration table: rows and columns, the CSV sheet, validation, edits, snapshots, and the
// fold that builds the table from the records of the log's config stream.
//
// A Table is the state after the record at one offset. It is a deterministic function of the records up to that offset,
// so readers at the same offset have equal tables and equal digests. The package does no I/O of its own.
package table
