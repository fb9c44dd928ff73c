package http1

import "bytes"

const (
	// maxHeadBytes and maxHeadLines bound the header of a response, and its trailer.
	maxHeadBytes = 64 << 10
	maxHeadLines = 256
	// maxChunkLineBytes bounds the line before a chunk, with its extensions.
	maxChunkLineBytes = 4 << 10
)

// phase is the part of a response that the next byte belongs to.
type phase uint8

const (
	inStatusLine phase = iota
	inHeader
	inBody
	inBodyUntilClose
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
)

// Validator decides whether the bytes of one connection, in the order of their
// arrival, are HTTP/1.1 responses. The zero value expects the first status line. It is
// not safe for concurrent use.
type Validator struct {
	phase phase
	// line holds the bytes of a line whose end has not arrived.
	line []byte
	// lines and size count the lines and bytes of the header or trailer.
	lines, size int
	head        head
	// left is the number of bytes that are missing of the body or chunk.
	left   uint64
	toHEAD bool
	err    *Error
}

// ExpectHEAD says whether the next final response answers a HEAD request, so that it
// has no body. It holds until the next call.
func (v *Validator) ExpectHEAD(toHEAD bool) { v.toHEAD = toHEAD }

// Err returns why bytes were rejected, nil if none were.
func (v *Validator) Err() error {
	if v.err == nil {
		return nil
	}
	return v.err
}

// Write takes the next bytes. It returns how many of them are part of valid responses
// or of the incomplete line at the end, and an *Error when the rest is not. All later
// bytes are then rejected.
func (v *Validator) Write(p []byte) (n int, err error) {
	for n < len(p) {
		taken, _, err := v.Step(p[n:])
		n += taken
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// Step is like Write, but stops after the last byte of a final response and reports
// that it did. The end of a response that ends with its connection is not reported.
func (v *Validator) Step(p []byte) (n int, final bool, err error) {
	for n < len(p) && v.err == nil && !final {
		taken, end := v.take(p[n:])
		if v.err == nil {
			n += taken
		}
		final = end
	}
	return n, final, v.Err()
}

// take takes bytes of one phase and reports whether they end a final response.
func (v *Validator) take(p []byte) (n int, final bool) {
	switch v.phase {
	case inBodyUntilClose:
		return len(p), false
	case inBody, inChunk:
		n = int(min(uint64(len(p)), v.left))
		if v.left -= uint64(n); v.left > 0 {
			return n, false
		}
		if v.phase == inChunk {
			v.phase = inChunkEnd
			return n, false
		}
		v.phase = inStatusLine
		return n, true
	}
	end := bytes.IndexByte(p, '\n') + 1
	if end == 0 {
		v.line = append(v.line, p...)
		v.err = v.checkPartialLine()
		return len(p), false
	}
	line := p[:end]
	if len(v.line) > 0 {
		v.line = append(v.line, line...)
		line = v.line
	}
	final = v.endLine(line)
	v.line = v.line[:0]
	return end, final
}

// checkPartialLine rejects a line before its end has arrived: one that is too long, or
// does not begin a status line, since there may be no end.
func (v *Validator) checkPartialLine() *Error {
	if v.phase == inStatusLine && !beginsStatusLine(v.line) {
		return malformed(Version, "status line "+quotedStart+" does not begin with HTTP/1.1 or HTTP/1.0", v.line)
	}
	return v.checkSize(len(v.line))
}

func (v *Validator) checkSize(lineBytes int) *Error {
	switch {
	case v.phase == inChunkSize && lineBytes > maxChunkLineBytes:
		return malformed(TooLarge, "chunk size line exceeds %d bytes", maxChunkLineBytes)
	case v.size+lineBytes > maxHeadBytes:
		return malformed(TooLarge, "header or trailer exceeds %d bytes", maxHeadBytes)
	case v.lines > maxHeadLines:
		return malformed(TooLarge, "header or trailer exceeds %d lines", maxHeadLines)
	}
	return nil
}

// endLine takes a complete line and reports whether it ends a final response.
func (v *Validator) endLine(line []byte) (final bool) {
	if v.err = v.checkSize(len(line)); v.err != nil {
		return false
	}
	var content []byte
	if content, v.err = cutLineEnd(line); v.err != nil {
		return false
	}
	switch v.phase {
	case inStatusLine:
		v.head = head{}
		v.head.status, v.head.http11, v.err = parseStatusLine(content)
		v.phase, v.lines, v.size = inHeader, 0, len(line)
	case inHeader:
		return v.headerLine(content)
	case inChunkSize:
		v.chunkSize(content)
	case inChunkEnd:
		if len(content) > 0 {
			v.err = malformed(Chunk, "chunk is followed by "+quotedStart+" in place of CRLF", content)
		}
		v.phase = inChunkSize
	case inTrailer:
		return v.trailerLine(content)
	}
	return false
}

// headerLine takes a line of the header, without its CRLF.
func (v *Validator) headerLine(content []byte) (final bool) {
	if len(content) == 0 {
		v.phase, v.left, v.err = v.head.body(v.toHEAD)
		v.size = 0
		return v.err == nil && v.phase == inStatusLine && !v.head.interim()
	}
	v.lines++
	v.size += len(content) + len(crlf)
	name, value, err := parseFieldLine(content)
	if err == nil {
		err = v.head.add(name, value)
	}
	v.err = err
	return false
}

// chunkSize takes the line before a chunk, without its CRLF.
func (v *Validator) chunkSize(content []byte) {
	if v.left, v.err = parseChunkSize(content); v.err != nil {
		return
	}
	v.phase = inChunk
	if v.left == 0 {
		v.phase, v.lines, v.size = inTrailer, 0, 0
	}
}

// trailerLine takes a line of the trailer, without its CRLF.
func (v *Validator) trailerLine(content []byte) (final bool) {
	if len(content) == 0 {
		v.phase, v.size = inStatusLine, 0
		return true
	}
	v.lines++
	v.size += len(content) + len(crlf)
	name, _, err := parseFieldLine(content)
	if err == nil {
		err = checkTrailerName(name)
	}
	v.err = err
	return false
}
