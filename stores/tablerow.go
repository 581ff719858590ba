package stores

import (
	"strconv"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"waxwingtide.example/waxwingtide/errs"
)

// Attributes of a row. The expiry time is in Unix seconds.
const (
	attrPartitionKey = "pk"
	attrSortKey      = "sk"
	attrVersion      = "v"
	attrValue        = "d"
	attrExpiry       = "ttl"
)

func checkKey(k Key) error {
	if k.Partition == "" || k.Sort == "" {
		return errs.New(errs.Invalid, "specify a partition and a sort key", "row key %q/%q is incomplete", k.Partition, k.Sort)
	}
	return nil
}

func encodeKey(k Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attrPartitionKey: &types.AttributeValueMemberS{Value: k.Partition},
		attrSortKey:      &types.AttributeValueMemberS{Value: k.Sort},
	}
}

func encodeNumber(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func decodeRows(items []map[string]types.AttributeValue) ([]Row, error) {
	rows := make([]Row, 0, len(items))
	for _, item := range items {
		row, err := decodeRow(item)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func decodeRow(item map[string]types.AttributeValue) (Row, error) {
	partition, okPartition := item[attrPartitionKey].(*types.AttributeValueMemberS)
	sort, okSort := item[attrSortKey].(*types.AttributeValueMemberS)
	version, okVersion := item[attrVersion].(*types.AttributeValueMemberN)
	value, okValue := item[attrValue].(*types.AttributeValueMemberB)
	if !okPartition || !okSort || !okVersion || !okValue {
		return Row{}, errs.New(errs.Corrupt, "check that no other program writes to the table", "row of the table has a missing or malformed attribute")
	}
	n, err := strconv.ParseUint(version.Value, 10, 64)
	if err != nil {
		return Row{}, errs.Wrap(err, errs.Corrupt, "check that no other program writes to the table", "version of row %s/%s is not an unsigned integer", partition.Value, sort.Value)
	}
	return Row{Key: Key{partition.Value, sort.Value}, Version: n, Value: value.Value}, nil
}
