// Package quetzalmount defines the types and interfaces of a router for language-model requests that share long prompt
// prefixes.
//
// A set of identical, diskless routers runs between callers and endpoints. Callers speak the chat completions protocol
// and a small protocol for plain services; endpoints are model engines and plain services. The platform provides an
// append-only log, which is the only place where the routers agree on anything, and a lagging list of instances.
//
// The root package holds what the packages below internal share: ids and units, the typed configuration, the views of
// routers and endpoints, errors with their outcome, and the interfaces of the parts that can be replaced. docs/design.md
// explains how the parts work together.
package quetzalmount
