// Package fake holds an in-memory table service, object store and host list
// for tests, with the faults of the real ones: down, slow, frozen, and a write
// that takes effect although its acknowledgement is lost. Every call observes
// its context; slowness runs on an injected clock.
package fake
