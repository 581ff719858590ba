package stores

import (
	"context"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"golang.org/x/time/rate"

	"waxwingtide.example/waxwingtide/errs"
)

// maxTableResponseBytes is the maximum size in bytes of a response of the table. The
// protocol limits a page to 1 MB of rows, whose values are encoded in base64.
const maxTableResponseBytes = 4 << 20

// TableOptions configures a table client.
type TableOptions struct {
	Endpoint Endpoint
	// Name is the name of the table.
	Name  string
	Retry RetryOptions
	// RequestsPerSecond and Burst limit the requests of this client, retries
	// included. If RequestsPerSecond is 0, there is no limit.
	RequestsPerSecond float64
	Burst             int
	// Now is the clock for expiry times. The default is time.Now.
	Now func() time.Time
}

// DynamoTable is a Table that uses the DynamoDB JSON protocol. It is safe for
// concurrent use.
type DynamoTable struct {
	client *dynamodb.Client
	// single sends transactions and reads their operation ids back, each over a connection
	// of its own: the responses carry no id, so on a kept connection an earlier one that
	// arrives late would be taken as the result of the transaction.
	single *dynamodb.Client
	name   string
	retry  *retrier
	budget *rate.Limiter
	now    func() time.Time
}

var _ Table = (*DynamoTable)(nil)

// NewTable returns a table client. It sends nothing. Errors: Invalid.
func NewTable(o TableOptions) (*DynamoTable, error) {
	if err := checkURL(o.Endpoint.URL, "table"); err != nil {
		return nil, err
	}
	if o.Name == "" {
		return nil, errs.New(errs.Invalid, "set the name of the table", "table has no name")
	}
	limit := rate.Limit(o.RequestsPerSecond)
	if o.RequestsPerSecond <= 0 {
		limit = rate.Inf
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &DynamoTable{
		client: newTableClient(o.Endpoint, newHTTPClient(maxTableResponseBytes)),
		single: newTableClient(o.Endpoint, newSingleHTTPClient(maxTableResponseBytes)),
		name:   o.Name,
		retry:  newRetrier(o.Retry),
		budget: rate.NewLimiter(limit, max(o.Burst, 1)),
		now:    o.Now,
	}, nil
}

func newTableClient(e Endpoint, httpClient *http.Client) *dynamodb.Client {
	return dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(e.URL),
		Region:       e.region(),
		Credentials:  credentials.NewStaticCredentialsProvider(e.AccessKey, e.SecretKey, ""),
		HTTPClient:   httpClient,
		Retryer:      aws.NopRetryer{},
	})
}

// Get implements Table.
func (t *DynamoTable) Get(ctx context.Context, key Key) (Row, error) {
	row := Row{Key: key}
	if err := checkKey(key); err != nil {
		return row, err
	}
	err := t.retry.run(ctx, func(ctx context.Context) error {
		item, err := t.getItem(ctx, t.client, key)
		if err != nil || len(item) == 0 {
			return err
		}
		found, err := decodeRow(item)
		if err != nil {
			return err
		}
		if found.Key != key {
			return newOtherRowError(found.Key)
		}
		row = found
		return nil
	})
	return row, err
}

// newOtherRowError returns the error of a read whose response contains a row that was not
// requested, which happens if an earlier response arrives on a kept connection.
func newOtherRowError(found Key) error {
	return errs.New(errs.Unavailable, "retry later", "table sent row %s/%s, which was not requested", found.Partition, found.Sort)
}

func (t *DynamoTable) getItem(ctx context.Context, client *dynamodb.Client, key Key) (map[string]types.AttributeValue, error) {
	if err := t.consumeBudget(); err != nil {
		return nil, err
	}
	out, err := client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(t.name),
		Key:            encodeKey(key),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return nil, classifyReadError(err)
	}
	return out.Item, nil
}

// List implements Table.
func (t *DynamoTable) List(ctx context.Context, partition, afterSortKey string, limit int) ([]Row, error) {
	if partition == "" || limit <= 0 {
		return nil, errs.New(errs.Invalid, "specify a partition and a positive limit", "rows of partition %q with limit %d cannot be listed", partition, limit)
	}
	var rows []Row
	for len(rows) < limit {
		page, hasMore, err := t.listPage(ctx, partition, afterSortKey, limit-len(rows))
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if !hasMore {
			return rows, nil
		}
		afterSortKey = rows[len(rows)-1].Key.Sort
	}
	return rows, nil
}

// listPage reads one page of rows and reports whether there may be more. The service
// returns fewer rows than requested if the page reaches its size limit.
func (t *DynamoTable) listPage(ctx context.Context, partition, afterSortKey string, limit int) ([]Row, bool, error) {
	input := &dynamodb.QueryInput{
		TableName:                aws.String(t.name),
		ConsistentRead:           aws.Bool(true),
		KeyConditionExpression:   aws.String("#p = :p"),
		ExpressionAttributeNames: map[string]string{"#p": attrPartitionKey},
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":p": &types.AttributeValueMemberS{Value: partition},
		},
		Limit: aws.Int32(int32(min(limit, 1000))),
	}
	if afterSortKey != "" {
		input.KeyConditionExpression = aws.String("#p = :p AND #s > :s")
		input.ExpressionAttributeNames["#s"] = attrSortKey
		input.ExpressionAttributeValues[":s"] = &types.AttributeValueMemberS{Value: afterSortKey}
	}
	var rows []Row
	var hasMore bool
	err := t.retry.run(ctx, func(ctx context.Context) error {
		if err := t.consumeBudget(); err != nil {
			return err
		}
		out, err := t.client.Query(ctx, input)
		if err != nil {
			return classifyReadError(err)
		}
		rows, err = decodeRows(out.Items)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if row.Key.Partition != partition || row.Key.Sort <= afterSortKey {
				return newOtherRowError(row.Key)
			}
		}
		hasMore = len(out.LastEvaluatedKey) > 0 && len(rows) > 0
		return err
	})
	return rows, hasMore, err
}
