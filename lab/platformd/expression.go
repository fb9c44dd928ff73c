package platformd

import (
	"fmt"
	"regexp"
	"strconv"
)

var (
	absentExpression   = regexp.MustCompile(`^\s*attribute_not_exists\s*\(\s*pk\s*\)\s*$`)
	revisionExpression = regexp.MustCompile(`^\s*rev\s*=\s*(:\w+)\s*$`)
	keyExpression      = regexp.MustCompile(`^\s*pk\s*=\s*(:\w+)(?:\s+AND\s+sk\s*>\s*(:\w+))?\s*$`)
)

// values are the ExpressionAttributeValues of a call.
type values map[string]attribute

// parseCondition parses a ConditionExpression; "" means no condition.
func parseCondition(expression string, vs values) (condition, error) {
	switch {
	case expression == "":
		return condition{}, nil
	case absentExpression.MatchString(expression):
		return condition{absent: true}, nil
	}
	m := revisionExpression.FindStringSubmatch(expression)
	if m == nil {
		return condition{}, validationError("ConditionExpression %q: the stand-in knows attribute_not_exists(pk) and rev = :r", expression)
	}
	n := vs[m[1]].N
	if n == nil {
		return condition{}, validationError("ConditionExpression: %s must be a number (N)", m[1])
	}
	revision, err := strconv.ParseUint(*n, 10, 64)
	if err != nil {
		return condition{}, validationError("ConditionExpression: %s is %q, expected a whole number", m[1], *n)
	}
	return condition{revision: &revision}, nil
}

// parseKeyCondition parses a KeyConditionExpression. after is "" if the
// expression has no condition on sk.
func parseKeyCondition(expression string, vs values) (pk, after string, err error) {
	m := keyExpression.FindStringSubmatch(expression)
	if m == nil {
		return "", "", validationError("KeyConditionExpression %q: the stand-in knows pk = :p and pk = :p AND sk > :a", expression)
	}
	pk, err = keyValue(m[1], vs)
	if err == nil && m[2] != "" {
		after, err = keyValue(m[2], vs)
	}
	return pk, after, err
}

func keyValue(name string, vs values) (string, error) {
	s := vs[name].S
	if s == nil || *s == "" {
		return "", validationError("KeyConditionExpression: %s must be a string (S) that is not empty", name)
	}
	return *s, nil
}

// validationError returns a ValidationException.
func validationError(format string, args ...any) error {
	return &tableError{Type: "ValidationException", Message: fmt.Sprintf(format, args...)}
}
