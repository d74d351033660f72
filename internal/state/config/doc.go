// Package config follows the config stream of the log and keeps the table on the blackboard, and edits the table.
//
// A Controller runs in every router. It reads the log and asks peers at the same time, publishes only newer tables, gives
// its table to peers, and writes the snapshots that keep the table alive beyond the log's retention. An Editor runs in
// the command line. It appends one edit and reads on until the fold shows what became of it.
package config
