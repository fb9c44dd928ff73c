package membership

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/cloud"
)

// Partition is the partition of the table service that holds the member rows.
const Partition = "members"

// encodeRow returns the row that stores m. writer identifies the write, and the
// row expires at expires.
func encodeRow(m Member, writer string, expires time.Time) (cloud.Row, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return cloud.Row{}, errors.Wrap(err, "encode member row")
	}
	return cloud.Row{
		Key:    cloud.Key{Partition: Partition, Sort: m.Name},
		Writer: writer, Body: body, Expires: expires,
	}, nil
}

// decodeRow returns the member that a row stores. It fails when the body is not
// a member or names another host than the row's key.
func decodeRow(r cloud.Row) (Member, error) {
	var m Member
	if err := json.Unmarshal(r.Body, &m); err != nil {
		return Member{}, errors.Wrapf(err, "decode member row %q", r.Sort)
	}
	if m.Name != r.Sort {
		return Member{}, errors.Errorf("member row %q names host %q, expected the row's own name", r.Sort, m.Name)
	}
	return m, nil
}
