// Package quetzalmount defines the types and interfaces of a router for language-model requests that share long prompt
// prefixes.
//
// Identical, diskless routers run between callers and endpoints. Callers use the chat completions protocol and an HTTP
// protocol for plain services; endpoints are model engines and plain services. The platform provides an append-only log,
// which is the only state on which the routers agree, and an eventually consistent list of instances.
//
// The root package defines the types that the packages below internal share: IDs and units, the typed configuration, the
// views of routers and endpoints, errors with their outcome, and the interfaces of replaceable components.
// docs/design.md describes the architecture.
package quetzalmount
