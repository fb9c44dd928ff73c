package hostlist

// Decode is for the fuzz target.
var Decode = decode
