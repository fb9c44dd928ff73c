// Package fake provides an in-memory table service, object store and host list
// for tests. They can inject the faults of the real services: unavailable, slow,
// frozen, and a write that is applied although its acknowledgement is lost.
// Every call observes its context; delays run on an injected clock.
package fake
