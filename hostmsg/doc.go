// Package hostmsg sends small messages between entry hosts over UDP.
//
// A message is a request (type Request), which may get any number of
// responses, or a notification, which gets none. The package retransmits
// nothing: the sender decides how long to wait for a response and what to do
// without one. A message fits one packet; larger data goes through the store.
package hostmsg
