package detour

import "github.com/chestnutfield/chestnutfield/hostmsg"

// kindRelay is the message kind of relay queries and their responses.
const kindRelay hostmsg.Kind = 40

// relayQuery asks a host whether it can relay requests to a pool.
type relayQuery struct {
	_    struct{} `cbor:",toarray"`
	Pool string
}

// relayResponse says whether the host reaches the pool and on which port of its
// address it takes requests.
type relayResponse struct {
	_       struct{} `cbor:",toarray"`
	Reaches bool
	Port    uint16
}
