// Package order brings engines to the version, the adapters and the role that the table says.
//
// A deployment has two load slots, because weights load slowly when more than two engines load at once. A router that
// wants to command an engine claims a slot for it by a record in stream orders; the record's offset is the fencing token.
// Claims name the offset that they replace, so every reader of the log agrees on the holder of each slot, and a slot names
// its engine, so an engine has one holder. A claim is good for one lease, counted from before it was sent. The stream is
// not re-appended for retention: a claim that was not renewed for a minute of the log's time counts as gone.
package order
