package stores

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"waxwingtide.example/waxwingtide/errs"
)

// MaxTransactionWrites is the maximum number of writes in one transaction. It is
// below the maximum that the protocol allows: 100 actions, one of which creates the
// row of the operation id.
const MaxTransactionWrites = 50

// maxTableResponseBytes is the maximum size in bytes of a response of the table. The
// protocol limits a page to 1 MB of rows, whose values are encoded in base64.
const maxTableResponseBytes = 4 << 20

// Attributes of a row. The expiry time is in Unix seconds.
const (
	attrPartitionKey = "pk"
	attrSortKey      = "sk"
	attrVersion      = "v"
	attrValue        = "d"
	attrExpiry       = "ttl"
)

// Each row of an operation id has a separate partition, so that the transactions do
// not all write to the same partition.
const (
	operationPartitionPrefix = "operation/"
	operationSortKey         = "id"
	// operationRetention is the time after which the table may remove the row of an
	// operation id. It is much longer than the retries of an operation.
	operationRetention = 24 * time.Hour
)

const retryOperationRemedy = "retry later with the same operation id"

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

// Transact implements Table.
func (t *DynamoTable) Transact(ctx context.Context, operationID string, writes []Write) error {
	input, err := t.buildTransaction(operationID, writes)
	if err != nil {
		return err
	}
	pending := &pendingTransaction{table: t, operationID: operationID, input: input}
	return t.retry.run(ctx, pending.attempt)
}

// pendingTransaction is the state of one transaction between its attempts. At most
// one of its requests can take effect, even if a delayed request reaches the table
// after a later one, because each request has to create the row of the operation id.
type pendingTransaction struct {
	table       *DynamoTable
	operationID string
	input       *dynamodb.TransactWriteItemsInput
	// maybeApplied is true if an earlier request may have reached the table.
	maybeApplied bool
	// outcomeUnread is true if a response was lost and the operation id could not be
	// read back yet.
	outcomeUnread bool
}

func (p *pendingTransaction) attempt(ctx context.Context) error {
	if p.outcomeUnread {
		applied, err := p.table.operationApplied(ctx, p.operationID)
		if applied || err != nil {
			return err
		}
		p.outcomeUnread = false
	}
	err := p.table.sendTransaction(ctx, p.input)
	if p.maybeApplied && errs.Is(err, errs.Exhausted) {
		return errs.Wrap(err, errs.Unavailable, retryOperationRemedy, "no effect of operation %s was observed", p.operationID)
	}
	if !errs.Is(err, errs.Unknown) {
		return err
	}
	p.maybeApplied = true
	return p.readBackOutcome(ctx, err)
}

// readBackOutcome reads the operation id back after a lost response and returns nil
// if the transaction took effect. It has a separate timeout, because the lost request
// may have used up the timeout of the attempt.
func (p *pendingTransaction) readBackOutcome(ctx context.Context, lostResponse error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.table.retry.options.RequestTimeout)
	defer cancel()
	applied, err := p.table.operationApplied(ctx, p.operationID)
	if applied {
		return nil
	}
	if err != nil {
		p.outcomeUnread = true
		return lostResponse
	}
	return errs.Wrap(lostResponse, errs.Unavailable, retryOperationRemedy, "no effect of operation %s was observed", p.operationID)
}

// operationApplied reports whether the row of the operation id exists. An error has
// the kind Unknown.
func (t *DynamoTable) operationApplied(ctx context.Context, operationID string) (bool, error) {
	item, err := t.getItem(ctx, t.single, operationKey(operationID))
	if err != nil {
		return false, errs.Wrap(err, errs.Unknown, retryOperationRemedy, "operation %s cannot be read back", operationID)
	}
	return len(item) > 0, nil
}

func (t *DynamoTable) sendTransaction(ctx context.Context, input *dynamodb.TransactWriteItemsInput) error {
	if err := t.consumeBudget(); err != nil {
		return err
	}
	_, err := t.single.TransactWriteItems(ctx, input)
	return classifyTransactError(err)
}

func (t *DynamoTable) consumeBudget() error {
	if t.budget.Allow() {
		return nil
	}
	return errs.New(errs.Exhausted, "retry later or raise the request budget", "request budget of the table is used up")
}

func (t *DynamoTable) buildTransaction(operationID string, writes []Write) (*dynamodb.TransactWriteItemsInput, error) {
	if operationID == "" || len(writes) == 0 || len(writes) > MaxTransactionWrites {
		return nil, errs.New(errs.Invalid, "specify an operation id and 1 to 50 writes", "transaction with operation id %q and %d writes is not allowed", operationID, len(writes))
	}
	operationRow := Write{Key: operationKey(operationID), TTL: operationRetention}
	items := make([]types.TransactWriteItem, 0, len(writes)+1)
	items = append(items, t.buildPut(operationRow))
	for _, w := range writes {
		if err := checkKey(w.Key); err != nil {
			return nil, err
		}
		items = append(items, t.buildPut(w))
	}
	return &dynamodb.TransactWriteItemsInput{TransactItems: items}, nil
}

func (t *DynamoTable) buildPut(w Write) types.TransactWriteItem {
	item := encodeKey(w.Key)
	item[attrVersion] = encodeNumber(w.ExpectedVersion + 1)
	item[attrValue] = &types.AttributeValueMemberB{Value: w.Value}
	if w.TTL > 0 {
		item[attrExpiry] = encodeNumber(uint64(t.now().Add(w.TTL).Unix()))
	}
	put := &types.Put{TableName: aws.String(t.name), Item: item}
	if w.ExpectedVersion == 0 {
		put.ConditionExpression = aws.String("attribute_not_exists(" + attrPartitionKey + ")")
		return types.TransactWriteItem{Put: put}
	}
	put.ConditionExpression = aws.String("#v = :v")
	put.ExpressionAttributeNames = map[string]string{"#v": attrVersion}
	put.ExpressionAttributeValues = map[string]types.AttributeValue{":v": encodeNumber(w.ExpectedVersion)}
	return types.TransactWriteItem{Put: put}
}

func operationKey(id string) Key {
	return Key{Partition: operationPartitionPrefix + id, Sort: operationSortKey}
}

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

// classifyReadError returns the error of a failed read with its kind.
func classifyReadError(err error) error {
	var apiErr smithy.APIError
	if errors.As(err, &apiErr) && apiErr.ErrorFault() == smithy.FaultClient && !isThrottled(apiErr) {
		return errs.Wrap(err, errs.Invalid, "check the name of the table, its address and the credentials", "table rejected a read request")
	}
	return errs.Wrap(err, errs.Unavailable, "retry later", "table cannot be read")
}

// classifyTransactError returns the error of a failed transaction request with its
// kind, or nil if the transaction took effect. The kind is Unknown if the response
// was lost, and Unavailable if this request had no effect and can be retried.
func classifyTransactError(err error) error {
	if err == nil {
		return nil
	}
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return classifyCancellation(cancelled)
	}
	var apiErr smithy.APIError
	if errors.As(err, &apiErr) && apiErr.ErrorFault() == smithy.FaultClient {
		if isThrottled(apiErr) {
			return errs.Wrap(err, errs.Unavailable, retryOperationRemedy, "table temporarily rejected the transaction")
		}
		return errs.Wrap(err, errs.Invalid, "check the name of the table, its address and the credentials", "table rejected the transaction")
	}
	if connectFailed(err) {
		return errs.Wrap(err, errs.Unavailable, retryOperationRemedy, "connection to the table cannot be opened")
	}
	return errs.Wrap(err, errs.Unknown, retryOperationRemedy, "response of the table to the transaction was lost")
}

const conditionFailedCode = "ConditionalCheckFailed"

// classifyCancellation returns the error of a cancelled transaction. The reasons are
// in the sequence of the actions. The first action creates the row of the operation
// id. If this row already exists, an earlier request took effect and the result is
// nil.
func classifyCancellation(cancelled *types.TransactionCanceledException) error {
	reasons := cancelled.CancellationReasons
	if len(reasons) > 0 && aws.ToString(reasons[0].Code) == conditionFailedCode {
		return nil
	}
	for _, reason := range reasons {
		if aws.ToString(reason.Code) == conditionFailedCode {
			return errs.Wrap(cancelled, errs.Conflict, "read the row again and repeat the decision", "condition of a write was not met because the row has changed")
		}
	}
	return errs.Wrap(cancelled, errs.Unavailable, retryOperationRemedy, "table temporarily cancelled the transaction")
}

// isThrottled reports whether the service rejected the request only temporarily.
func isThrottled(apiErr smithy.APIError) bool {
	switch apiErr.ErrorCode() {
	case "ProvisionedThroughputExceededException", "ThrottlingException",
		"RequestLimitExceeded", "TransactionInProgressException":
		return true
	}
	return false
}
