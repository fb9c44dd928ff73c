package dynamo

import (
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/cloud"
)

// Attribute names of a row.
const (
	attrPartition = "pk"
	attrSort      = "sk"
	attrRevision  = "rev"
	attrWriter    = "writer"
	attrBody      = "body"
	attrExpires   = "ttl"
)

type item = map[string]types.AttributeValue

func stringAttr(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func numberAttr(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func encodeKey(k cloud.Key) item {
	return item{attrPartition: stringAttr(k.Partition), attrSort: stringAttr(k.Sort)}
}

func encodeRow(r cloud.Row) item {
	it := encodeKey(r.Key)
	it[attrRevision] = numberAttr(r.Revision)
	it[attrWriter] = stringAttr(r.Writer)
	it[attrBody] = &types.AttributeValueMemberB{Value: r.Body}
	if r.Body == nil {
		it[attrBody] = &types.AttributeValueMemberB{Value: []byte{}}
	}
	if !r.Expires.IsZero() {
		it[attrExpires] = numberAttr(uint64(r.Expires.Unix()))
	}
	return it
}

// condition returns the condition expression of w and its values, or nil if w
// has no condition.
func condition(w cloud.Write) (*string, item) {
	switch {
	case w.IfAbsent:
		return aws.String("attribute_not_exists(pk)"), nil
	case w.IfRevision > 0:
		return aws.String("rev = :r"), item{":r": numberAttr(w.IfRevision)}
	default:
		return nil, nil
	}
}

func decodeRow(it item) (cloud.Row, error) {
	var r cloud.Row
	var err error
	if r.Partition, err = readString(it, attrPartition); err != nil {
		return r, err
	}
	if r.Sort, err = readString(it, attrSort); err != nil {
		return r, err
	}
	if r.Writer, err = readString(it, attrWriter); err != nil {
		return r, err
	}
	if r.Revision, err = readNumber(it, attrRevision); err != nil {
		return r, err
	}
	if b, ok := it[attrBody].(*types.AttributeValueMemberB); ok {
		r.Body = b.Value
	}
	if _, ok := it[attrExpires]; ok {
		seconds, err := readNumber(it, attrExpires)
		if err != nil {
			return r, err
		}
		r.Expires = time.Unix(int64(seconds), 0).UTC()
	}
	return r, nil
}

// decodeListedRow decodes a row of a query. An odd row doesn't make the others
// unreadable: of one that another writer left, only the key is returned, so that
// whoever lists the rows finds no body. It fails for a row without a key, with which
// no query goes on.
func decodeListedRow(it item) (cloud.Row, error) {
	r, err := decodeRow(it)
	if err != nil && r.Sort != "" {
		return cloud.Row{Key: r.Key}, nil
	}
	return r, err
}

func readString(it item, name string) (string, error) {
	v, ok := it[name].(*types.AttributeValueMemberS)
	if !ok {
		return "", errors.Errorf("row without text attribute %s", name)
	}
	return v.Value, nil
}

func readNumber(it item, name string) (uint64, error) {
	v, ok := it[name].(*types.AttributeValueMemberN)
	if !ok {
		return 0, errors.Errorf("row without number attribute %s", name)
	}
	n, err := strconv.ParseUint(v.Value, 10, 64)
	return n, errors.Wrapf(err, "attribute %s", name)
}
