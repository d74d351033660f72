// Package claim runs calls to plain services that must not run twice. It implements quetzalmount.Claims.
//
// A call with a key is first claimed in a stream of the log. Every router folds the stream by the same rules, so all
// agree on which attempt holds a key. Only the router whose attempt holds the key dispatches the call, once. The steps
// are those of spec/claim.pml; comments name them in brackets, as in [ReadBack].
//
// Clocks: the fold uses only the times that the log service gave to its records and the times in attempt ids, so all
// routers decide alike. A claim that lands later than ClaimWindow after its attempt began never wins. Routers whose
// clocks are behind the log's by more than ClaimWindow get refusals, never duplicates.
package claim
