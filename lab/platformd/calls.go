package platformd

import (
	"encoding/json"
)

// writeInput is a PutItem or DeleteItem call, or one entry of a transaction.
type writeInput struct {
	TableName                           string
	Item                                item
	Key                                 item
	ConditionExpression                 string
	ExpressionAttributeValues           values
	ReturnValuesOnConditionCheckFailure string
}

// mutation validates the call and converts it. byKey takes the primary key from
// Key instead of Item.
func (in writeInput) mutation(byKey bool) (mutation, error) {
	if err := checkTable(in.TableName); err != nil {
		return mutation{}, err
	}
	m := mutation{remove: byKey, returnOld: in.ReturnValuesOnConditionCheckFailure == allOld}
	source := in.Item
	if byKey {
		source = in.Key
	} else {
		m.put = in.Item
	}
	var ok bool
	if m.key, ok = source.key(); !ok {
		return mutation{}, validationError("pk and sk must be strings (S) that are not empty")
	}
	if n := in.Item.size(); n > maxItemBytes {
		return mutation{}, validationError("Item size has exceeded the maximum allowed size: %d bytes of %d", n, maxItemBytes)
	}
	var err error
	m.condition, err = parseCondition(in.ConditionExpression, in.ExpressionAttributeValues)
	return m, err
}

// decodeCall decodes the body of a call into in and then checks *table, which
// has to point to the table name in it.
func decodeCall(body []byte, in any, table *string) error {
	if err := json.Unmarshal(body, in); err != nil {
		return err
	}
	return checkTable(*table)
}

func checkTable(name string) error {
	if name == tableName {
		return nil
	}
	return &tableError{Type: "ResourceNotFoundException", Message: "Requested resource not found: Table: " + name + " not found"}
}

func throttled() error {
	return &tableError{Type: "ProvisionedThroughputExceededException", Message: "the provisioned throughput for the table is exceeded"}
}

type keyElement struct{ AttributeName, KeyType string }

type tableDescription struct {
	TableName   string
	TableStatus string
	KeySchema   []keyElement
}

type describeTableOutput struct {
	Table            tableDescription
	TableDescription tableDescription
}

// describeTable serves DescribeTable and CreateTable. The table always exists,
// so that both only describe it.
func (s *Server) describeTable(body []byte) (any, bool, error) {
	var in struct{ TableName string }
	if err := decodeCall(body, &in, &in.TableName); err != nil {
		return nil, false, err
	}
	s.stats.add(access{operation: "DescribeTable"})
	d := tableDescription{
		TableName: tableName, TableStatus: "ACTIVE",
		KeySchema: []keyElement{{"pk", "HASH"}, {"sk", "RANGE"}},
	}
	return describeTableOutput{Table: d, TableDescription: d}, false, nil
}
