package table

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// MaxTransferBytes bounds the JSON form of tables that hosts send each other. It
// protects the memory of the receiver, which is a few hundred MB: 20,000 routes with
// names of 60 bytes take 9 MB, and 34 MB if each splits its requests over 16 pools.
const MaxTransferBytes = 64 << 20

// ErrTooLarge means that tables exceed MaxTransferBytes.
var ErrTooLarge = errors.New("tables exceed 67108864 bytes of JSON")

// EncodeTransfer returns the form of tables in which hosts send them to each other:
// gzip-compressed JSON as Encode returns it, without the bound of a row and compressed
// for speed. It returns the size of the JSON as well. The error is ErrTooLarge when
// DecodeTransfer would refuse that size.
func EncodeTransfer(t *Tables) (data []byte, plainBytes int, err error) {
	var b bytes.Buffer
	z, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, 0, errors.Wrap(err, "gzip")
	}
	w := &limitedWriter{to: bufio.NewWriterSize(z, 32<<10), limit: MaxTransferBytes}
	if err := writeTables(w, t); err != nil {
		return nil, w.written, err
	}
	if err := w.to.Flush(); err != nil {
		return nil, w.written, errors.Wrap(err, "gzip")
	}
	if err := z.Close(); err != nil {
		return nil, w.written, errors.Wrap(err, "gzip")
	}
	return b.Bytes(), w.written, nil
}

// writeTables writes tables as JSON route by route, so that their form is never in
// memory as a whole.
func writeTables(w io.Writer, t *Tables) error {
	rest, err := json.Marshal(struct {
		*Tables
		Routes *struct{} `json:"routes,omitempty"`
	}{Tables: t})
	if err != nil {
		return errors.Wrap(err, "encode tables")
	}
	if _, err := io.WriteString(w, `{"routes":{`); err != nil {
		return errors.Wrap(err, "encode tables")
	}
	separator := ""
	for _, name := range sortedKeys(t.Routes) {
		key, err := json.Marshal(name)
		if err != nil {
			return errors.Wrap(err, "encode tables")
		}
		value, err := json.Marshal(t.Routes[name])
		if err != nil {
			return errors.Wrap(err, "encode tables")
		}
		for _, part := range [][]byte{[]byte(separator), key, []byte(":"), value} {
			if _, err := w.Write(part); err != nil {
				return errors.Wrap(err, "encode tables")
			}
		}
		separator = ","
	}
	if _, err = io.WriteString(w, "},"); err == nil {
		_, err = w.Write(rest[1:])
	}
	return errors.Wrap(err, "encode tables")
}

// limitedWriter passes bytes on up to a limit.
type limitedWriter struct {
	to             *bufio.Writer
	written, limit int
}

func (w *limitedWriter) Write(b []byte) (int, error) {
	if w.written += len(b); w.written > w.limit {
		return 0, ErrTooLarge
	}
	return w.to.Write(b)
}

// DecodeTransfer decodes the output of EncodeTransfer or Encode. It returns ErrTooLarge
// when the JSON exceeds MaxTransferBytes. Unknown fields are ignored, as in Decode.
func DecodeTransfer(data []byte) (*Tables, error) {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "gunzip tables")
	}
	r := &limitedReader{from: z, left: MaxTransferBytes}
	t, err := readTables(json.NewDecoder(r))
	if err != nil {
		return nil, err
	}
	if t.Pools == nil || t.Routes == nil {
		return nil, errors.New("decode tables: expected pools and routes")
	}
	t.shareNames()
	return t, nil
}

// limitedReader returns ErrTooLarge beyond a limit.
type limitedReader struct {
	from io.Reader
	left int
}

func (r *limitedReader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b)
	if r.left -= n; r.left < 0 {
		return 0, ErrTooLarge
	}
	return n, err
}

// readTables decodes tables entry by entry, so that their JSON is never in memory as a
// whole.
func readTables(d *json.Decoder) (*Tables, error) {
	t := Empty()
	rest := map[string]json.RawMessage{}
	err := readObject(d, func(key string) error {
		if key == "routes" {
			return readObject(d, func(name string) error {
				var r Route
				err := d.Decode(&r)
				t.Routes[name] = r
				return err
			})
		}
		var raw json.RawMessage
		err := d.Decode(&raw)
		rest[key] = raw
		return err
	})
	if err != nil {
		return nil, errors.Wrap(err, "decode tables")
	}
	plain, err := json.Marshal(rest)
	if err != nil {
		return nil, errors.Wrap(err, "decode tables")
	}
	return t, errors.Wrap(json.Unmarshal(plain, t), "decode tables")
}

// readObject calls read for each key of a JSON object; read consumes the value.
func readObject(d *json.Decoder, read func(key string) error) error {
	if err := expectDelimiter(d, '{'); err != nil {
		return err
	}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return err
		}
		key, ok := token.(string)
		if !ok {
			return errors.Errorf("got %v; expected a key", token)
		}
		if err := read(key); err != nil {
			return err
		}
	}
	return expectDelimiter(d, '}')
}

func expectDelimiter(d *json.Decoder, want json.Delim) error {
	token, err := d.Token()
	if err == nil && token != want {
		err = errors.Errorf("got %v; expected %v", token, want)
	}
	return err
}

// shareNames makes routes share the memory of names that they have in common.
func (t *Tables) shareNames() {
	names := map[string]string{}
	share := func(s *string) {
		if known, ok := names[*s]; ok {
			*s = known
			return
		}
		names[*s] = *s
	}
	for name := range t.Pools {
		share(&name)
	}
	for name, r := range t.Routes {
		if r.Name == name {
			// The key and the name share their memory.
			r.Name = name
		}
		share(&r.Pool)
		share(&r.Host)
		share((*string)(&r.Class))
		for i := range r.Split {
			share(&r.Split[i].Pool)
		}
		t.Routes[name] = r
	}
}
