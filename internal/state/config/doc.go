// Package config keeps a router's configuration table up to date from the config stream of the log, and edits the
// table.
//
// A Controller runs in every router. It reads the log and asks peers at the same time, publishes only newer tables on
// the board, serves its table to peers, and writes the snapshots that preserve the table beyond the log's retention. An
// Editor runs in the command line. It appends one edit and reads the log until the outcome of the edit is known.
package config
