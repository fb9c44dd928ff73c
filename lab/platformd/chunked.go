package platformd

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"hash/crc32"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

var crlf = []byte("\r\n")

// decodeChunked decodes the aws-chunked content coding: chunks with their size,
// then trailers, of which it returns the checksums.
func decodeChunked(in []byte) (body []byte, trailers []headerField, err error) {
	for {
		head, rest, found := bytes.Cut(in, crlf)
		if !found {
			return nil, nil, errors.New("aws-chunked: chunk header cut short")
		}
		size, _, _ := strings.Cut(string(head), ";")
		n, err := strconv.ParseUint(size, 16, 31)
		if err != nil {
			return nil, nil, errors.Wrap(err, "aws-chunked: chunk size")
		}
		if n == 0 {
			return body, parseTrailers(rest), nil
		}
		if uint64(len(rest)) < n+uint64(len(crlf)) || !bytes.Equal(rest[n:n+2], crlf) {
			return nil, nil, errors.New("aws-chunked: chunk cut short")
		}
		body = append(body, rest[:n]...)
		in = rest[n+2:]
	}
}

func parseTrailers(in []byte) []headerField {
	var fields []headerField
	for _, line := range strings.Split(string(in), "\r\n") {
		name, value, found := strings.Cut(line, ":")
		name = strings.ToLower(strings.TrimSpace(name))
		if found && strings.HasPrefix(name, checksumPrefix) {
			fields = append(fields, headerField{name, strings.TrimSpace(value)})
		}
	}
	return fields
}

// verifyChecksums verifies the CRC-32 checksum, which clients send by default.
// Other kinds of checksum are stored and returned unverified.
func verifyChecksums(o object) error {
	for _, c := range o.checksums {
		if c.name != checksumPrefix+"crc32" {
			continue
		}
		sum := binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(o.body))
		if base64.StdEncoding.EncodeToString(sum) != c.value {
			return errors.Errorf("%s does not match the body", c.name)
		}
	}
	return nil
}
