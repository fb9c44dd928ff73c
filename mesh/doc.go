// Package mesh carries small messages between entry hosts over UDP.
//
// A message is a question, which is answered or not, or news, which nobody
// answers. Nothing is sent again here: who asks decides how long an answer is
// worth waiting for and what to do without one. Messages stay below the size
// of one packet; what is larger goes through the store.
package mesh
