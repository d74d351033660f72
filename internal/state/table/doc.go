// Package table holds the configuration table: rows, their columns, the CSV sheet, validation, edits, the fold over the
// records of the log's config stream, and snapshots.
//
// A Table is the state that the fold reaches at one offset. Everything in it is a function of the records up to that
// offset, so two readers with the same offset have the same table and the same digest. The package does no input or
// output of its own.
package table
