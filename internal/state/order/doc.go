// Package order commands engines to load the version and the adapters and to take the role that the configuration table
// requires.
//
// A deployment has two load slots, because loading weights slows down when more than two engines load at the same time.
// Before a router commands an engine, it claims a slot for that engine with a record in the stream "orders". The offset of
// the record is the fencing token of the commands. A claim names the offset of the claim that it replaces, so all readers
// of the log agree on the holder of each slot. A slot names its engine, and no engine may have both slots, so an engine has
// at most one holder. A claim is valid for one lease, which starts before its record is sent. The state is not preserved
// beyond the log's retention time: a claim expires if it is not renewed within a minute of the log's time.
package order
