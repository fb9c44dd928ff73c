// Package quota enforces the quotas of workspaces over all hosts together by
// delegated shares.
//
// Each of N hosts owns 1/N of every quota. Workspaces are divided into shards.
// For each shard, a host delegates its part to one host, the quota host, by a
// heartbeat that is valid for a short time. The quota host keeps a token bucket
// for each workspace, of the rate and burst times the sum of the parts delegated
// to it, and all hosts ask it for tokens. Since a host delegates to one quota
// host at a time, the parts in force at several quota hosts add up to at most the
// quota, without votes.
//
// allocator, bucket, delegation, contacts, bridge and shard are pure: time and
// events in, values out. Client does the I/O around them.
package quota
