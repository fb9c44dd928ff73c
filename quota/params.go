package quota

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutfield/chestnutfield/roster"
)

const (
	// shardCount is the number of shards into which workspaces are divided by name,
	// so that several hosts share the work of the quota host.
	shardCount = 16
	// heartbeatInterval is the time between two delegations of one host,
	// delegationValidity how long each is in force: two may be lost.
	heartbeatInterval  = 200 * time.Millisecond
	delegationValidity = 600 * time.Millisecond
	// firstDelegationDelay is the time from a host's start to its first delegation. The
	// part that its predecessor delegated may still be in force at another quota host for
	// the rest of delegationValidity; that of a few hosts which restart at once stays
	// within what the guarantee allows beyond the quota. With the whole of it, callers
	// were refused for more than a second after all hosts had restarted.
	firstDelegationDelay = 200 * time.Millisecond
	// unreadyInterval is the time between two requests for a token while the quota host is
	// not ready.
	unreadyInterval = 50 * time.Millisecond
	// requestTimeout is how long a quota host may take for a response, several round
	// trips between failure domains; each message is sent requestTries times.
	requestTimeout = 25 * time.Millisecond
	requestTries   = 2
	// heartbeatTimeout is how long heartbeats may stay unanswered: two intervals, so
	// that one lost message is no failure.
	heartbeatTimeout = 2 * heartbeatInterval
	// initialCredit is the part of a second of its rate that a bucket holds when its
	// quota host has just taken over: less than what the hand-over cost.
	initialCredit = 200 * time.Millisecond
	// maxReservation is how long in advance a token may be granted. A quota host
	// that is lost has granted no more than this beyond its last moment; with 250 ms,
	// three losses in 5 s exceeded the quota.
	maxReservation = 150 * time.Millisecond
	// tokenLifetime is how long a token may be kept where the delegated part of the
	// burst is less than one token. Without it, each of many quota hosts could save
	// up one token, and all of them could be spent at once.
	tokenLifetime = 250 * time.Millisecond
	// maxStepGap is the time between two steps from which on the process counts as
	// paused. After a shorter pause from minDrainGap on, delegations that arrived
	// meanwhile are not counted; drainTime is how long reading them may take.
	maxStepGap  = 400 * time.Millisecond
	minDrainGap = 250 * time.Millisecond
	drainTime   = 100 * time.Millisecond
	// bridgeFraction is the part of a host's own mean rate that it admits while its
	// quota host doesn't answer, for at most bridgeDuration.
	bridgeFraction = 0.5
	bridgeDuration = 600 * time.Millisecond
)

// taskKind is the kind of quota tasks in the roster.
const taskKind = "quota"

// shardOf returns the shard of a workspace.
func shardOf(workspace string) int { return int(xxhash.Sum64String(workspace) % shardCount) }

// Task returns the roster's task of the quota host of a shard.
func Task(shard int) roster.Task {
	return roster.Task{Kind: taskKind, Name: strconv.Itoa(shard)}
}

// TaskOf returns the roster's task of the quota host of a workspace.
func TaskOf(workspace string) roster.Task { return Task(shardOf(workspace)) }
