// Package config brings accepted versions of the tables into force on every
// host, and never takes one back.
//
// A Keeper learns of versions from three kinds of sources: the table service,
// whose small version row it polls; peers, whose news it hears; and the
// snapshot in the object store. It fetches the packed tables from whichever
// source has the highest version and answers. What is in force is one pointer
// that is swapped whole and whose version only grows.
//
// At its start a host collects what it can learn of for a bounded wait, then
// takes no version older than the highest it learned of, unless that one can't
// be fetched from anywhere for a longer, bounded time. A host that is cut off
// keeps what it has and says so in Status.
//
// All decisions stand in core, which is pure: events and the time go in,
// actions come out. Keeper is the shell that carries them out.
package config
