// Package claim runs calls to plain services at most once per idempotency key. It implements
// quetzalmount.CallRunner.
//
// A router that receives a call with a key first appends a claim record to a stream of the log. All routers fold the
// stream with the same deterministic rules, so they agree on which attempt holds the key. Only the router whose attempt
// holds the key dispatches the call, and it does so once. The protocol is specified in spec/claim.pml; names in brackets
// in the comments, such as [ReadBack], are the steps of that model.
//
// The fold uses only the timestamps that the log service assigns to records and the timestamps in attempt IDs, so its
// result does not depend on a router's clock. A claim that is appended more than ClaimWindow after the start of its
// attempt never wins. A router whose clock is behind the log's clock by more than ClaimWindow has its calls refused, but
// never runs a call twice.
package claim
