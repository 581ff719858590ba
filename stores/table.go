package stores

import (
	"context"
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

// MaxTransactionWrites is the largest number of writes in one transaction. The protocol
// allows 100 actions; the row of the operation id takes one of them.
const MaxTransactionWrites = 50

// Attributes of a row. The time to live is in Unix seconds.
const (
	attrPartition = "pk"
	attrSort      = "sk"
	attrVersion   = "v"
	attrValue     = "d"
	attrExpiry    = "ttl"
)

// Rows of operation ids have a partition of their own each, so that no
// partition takes all transactions.
const (
	operationPrefix = "operation/"
	operationSort   = "id"
	// operationRetention is far longer than an operation is retried.
	operationRetention = 24 * time.Hour
)

const unavailableRemedy = "retry later with the same operation id"

// TableOptions configures a table client.
type TableOptions struct {
	Endpoint Endpoint
	// Name is the name of the table.
	Name  string
	Retry RetryOptions
	// RequestsPerSecond and Burst bound the requests of this process, retries
	// included. RequestsPerSecond 0 means no bound.
	RequestsPerSecond float64
	Burst             int
	// Now is the clock for expiry times; default time.Now.
	Now func() time.Time
}

// DynamoTable is a Table over the DynamoDB JSON protocol. It is safe for
// concurrent use.
type DynamoTable struct {
	client *dynamodb.Client
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
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(o.Endpoint.URL),
		Region:       o.Endpoint.region(),
		Credentials:  credentials.NewStaticCredentialsProvider(o.Endpoint.AccessKey, o.Endpoint.SecretKey, ""),
		HTTPClient:   newHTTPClient(),
		Retryer:      aws.NopRetryer{},
	})
	return &DynamoTable{
		client: client,
		name:   o.Name,
		retry:  newRetrier(o.Retry),
		budget: rate.NewLimiter(limit, max(o.Burst, 1)),
		now:    o.Now,
	}, nil
}

// Get implements Table.
func (t *DynamoTable) Get(ctx context.Context, key Key) (Row, error) {
	row := Row{Key: key}
	if err := checkKey(key); err != nil {
		return row, err
	}
	err := t.retry.run(ctx, func(ctx context.Context) error {
		item, err := t.getItem(ctx, key)
		if err != nil || len(item) == 0 {
			return err
		}
		row, err = decodeRow(item)
		return err
	})
	return row, err
}

func (t *DynamoTable) getItem(ctx context.Context, key Key) (map[string]types.AttributeValue, error) {
	if err := t.spend(); err != nil {
		return nil, err
	}
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(t.name),
		Key:            encodeKey(key),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return nil, readError(err)
	}
	return out.Item, nil
}

// List implements Table.
func (t *DynamoTable) List(ctx context.Context, partition, after string, limit int) ([]Row, error) {
	if partition == "" || limit <= 0 {
		return nil, errs.New(errs.Invalid, "give a partition and a positive limit", "listing partition %q with limit %d", partition, limit)
	}
	var rows []Row
	for len(rows) < limit {
		page, more, err := t.listPage(ctx, partition, after, limit-len(rows))
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if !more {
			return rows, nil
		}
		after = rows[len(rows)-1].Key.Sort
	}
	return rows, nil
}

// listPage reads one page and reports whether there may be more rows. The
// service ends a page early when it reaches its size limit.
func (t *DynamoTable) listPage(ctx context.Context, partition, after string, limit int) ([]Row, bool, error) {
	input := &dynamodb.QueryInput{
		TableName:                aws.String(t.name),
		ConsistentRead:           aws.Bool(true),
		KeyConditionExpression:   aws.String("#p = :p"),
		ExpressionAttributeNames: map[string]string{"#p": attrPartition},
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":p": &types.AttributeValueMemberS{Value: partition},
		},
		Limit: aws.Int32(int32(min(limit, 1000))),
	}
	if after != "" {
		input.KeyConditionExpression = aws.String("#p = :p AND #s > :s")
		input.ExpressionAttributeNames["#s"] = attrSort
		input.ExpressionAttributeValues[":s"] = &types.AttributeValueMemberS{Value: after}
	}
	var rows []Row
	var more bool
	err := t.retry.run(ctx, func(ctx context.Context) error {
		if err := t.spend(); err != nil {
			return err
		}
		out, err := t.client.Query(ctx, input)
		if err != nil {
			return readError(err)
		}
		rows, err = decodeRows(out.Items)
		more = len(out.LastEvaluatedKey) > 0 && len(rows) > 0
		return err
	})
	return rows, more, err
}

// Transact implements Table.
func (t *DynamoTable) Transact(ctx context.Context, operationID string, writes []Write) error {
	input, err := t.transaction(operationID, writes)
	if err != nil {
		return err
	}
	attempts := &transactAttempts{table: t, id: operationID, input: input}
	return t.retry.run(ctx, attempts.next)
}

// transactAttempts is the state of one transaction between its attempts. A
// request that is still under way cannot take effect after a later one: each
// creates the row of the operation id, and only one can.
type transactAttempts struct {
	table *DynamoTable
	id    string
	input *dynamodb.TransactWriteItemsInput
	// sent is set when an earlier request may have reached the table.
	sent bool
	// lost is set when an answer was lost and the id has not been read back.
	lost bool
}

func (a *transactAttempts) next(ctx context.Context) error {
	if a.lost {
		applied, err := a.table.applied(ctx, a.id)
		if applied || err != nil {
			return err
		}
		a.lost = false
	}
	err := a.table.send(ctx, a.input)
	if a.sent && errs.Is(err, errs.Exhausted) {
		return errs.Wrap(err, errs.Unavailable, unavailableRemedy, "operation %s is not known to have taken effect", a.id)
	}
	if !errs.Is(err, errs.Unknown) {
		return err
	}
	a.sent = true
	return a.settle(ctx, err)
}

// settle reads the operation id back after a lost answer. It has its own time
// limit, because the lost request may have used up the attempt's.
func (a *transactAttempts) settle(ctx context.Context, lostAnswer error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.table.retry.options.RequestTimeout)
	defer cancel()
	applied, err := a.table.applied(ctx, a.id)
	if applied {
		return nil
	}
	if err != nil {
		a.lost = true
		return lostAnswer
	}
	return errs.Wrap(lostAnswer, errs.Unavailable, unavailableRemedy, "operation %s is not known to have taken effect", a.id)
}

// applied reports whether the row of the operation id exists. An error has the
// kind Unknown.
func (t *DynamoTable) applied(ctx context.Context, operationID string) (bool, error) {
	item, err := t.getItem(ctx, operationKey(operationID))
	if err != nil {
		return false, errs.Wrap(err, errs.Unknown, unavailableRemedy, "operation %s cannot be read back", operationID)
	}
	return len(item) > 0, nil
}

func (t *DynamoTable) send(ctx context.Context, input *dynamodb.TransactWriteItemsInput) error {
	if err := t.spend(); err != nil {
		return err
	}
	_, err := t.client.TransactWriteItems(ctx, input)
	return transactError(err)
}

func (t *DynamoTable) spend() error {
	if t.budget.Allow() {
		return nil
	}
	return errs.New(errs.Exhausted, "retry later or raise the request budget", "request budget of the table is used up")
}

func (t *DynamoTable) transaction(operationID string, writes []Write) (*dynamodb.TransactWriteItemsInput, error) {
	if operationID == "" || len(writes) == 0 || len(writes) > MaxTransactionWrites {
		return nil, errs.New(errs.Invalid, "give an operation id and 1 to 50 writes", "transaction %q has %d writes", operationID, len(writes))
	}
	marker := Write{Key: operationKey(operationID), TTL: operationRetention}
	items := make([]types.TransactWriteItem, 0, len(writes)+1)
	items = append(items, t.put(marker))
	for _, w := range writes {
		if err := checkKey(w.Key); err != nil {
			return nil, err
		}
		items = append(items, t.put(w))
	}
	return &dynamodb.TransactWriteItemsInput{TransactItems: items}, nil
}

func (t *DynamoTable) put(w Write) types.TransactWriteItem {
	item := encodeKey(w.Key)
	item[attrVersion] = number(w.ExpectedVersion + 1)
	item[attrValue] = &types.AttributeValueMemberB{Value: w.Value}
	if w.TTL > 0 {
		item[attrExpiry] = number(uint64(t.now().Add(w.TTL).Unix()))
	}
	put := &types.Put{TableName: aws.String(t.name), Item: item}
	if w.ExpectedVersion == 0 {
		put.ConditionExpression = aws.String("attribute_not_exists(" + attrPartition + ")")
		return types.TransactWriteItem{Put: put}
	}
	put.ConditionExpression = aws.String("#v = :v")
	put.ExpressionAttributeNames = map[string]string{"#v": attrVersion}
	put.ExpressionAttributeValues = map[string]types.AttributeValue{":v": number(w.ExpectedVersion)}
	return types.TransactWriteItem{Put: put}
}

func operationKey(id string) Key {
	return Key{Partition: operationPrefix + id, Sort: operationSort}
}

func checkKey(k Key) error {
	if k.Partition == "" || k.Sort == "" {
		return errs.New(errs.Invalid, "give a partition and a sort key", "row key %q/%q is incomplete", k.Partition, k.Sort)
	}
	return nil
}

func encodeKey(k Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attrPartition: &types.AttributeValueMemberS{Value: k.Partition},
		attrSort:      &types.AttributeValueMemberS{Value: k.Sort},
	}
}

func number(n uint64) types.AttributeValue {
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
	partition, okPartition := item[attrPartition].(*types.AttributeValueMemberS)
	sort, okSort := item[attrSort].(*types.AttributeValueMemberS)
	version, okVersion := item[attrVersion].(*types.AttributeValueMemberN)
	value, okValue := item[attrValue].(*types.AttributeValueMemberB)
	if !okPartition || !okSort || !okVersion || !okValue {
		return Row{}, errs.New(errs.Corrupt, "check that no other program writes to the table", "row of the table lacks an attribute")
	}
	n, err := strconv.ParseUint(version.Value, 10, 64)
	if err != nil {
		return Row{}, errs.Wrap(err, errs.Corrupt, "check that no other program writes to the table", "version of row %s/%s", partition.Value, sort.Value)
	}
	return Row{Key: Key{partition.Value, sort.Value}, Version: n, Value: value.Value}, nil
}

// readError gives the kind of a failed read.
func readError(err error) error {
	var api smithy.APIError
	if errors.As(err, &api) && api.ErrorFault() == smithy.FaultClient && !throttled(api) {
		return errs.Wrap(err, errs.Invalid, "check the table's name, address and credentials", "table refused a read")
	}
	return errs.Wrap(err, errs.Unavailable, "retry later", "table cannot be read")
}

// transactError gives the kind of a failed transaction: Unknown when the
// answer was lost, Unavailable when nothing can have happened.
func transactError(err error) error {
	if err == nil {
		return nil
	}
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return cancelledError(cancelled)
	}
	var api smithy.APIError
	if errors.As(err, &api) && api.ErrorFault() == smithy.FaultClient {
		if throttled(api) {
			return errs.Wrap(err, errs.Unavailable, unavailableRemedy, "table refused the transaction for now")
		}
		return errs.Wrap(err, errs.Invalid, "check the table's name, address and credentials", "table refused the transaction")
	}
	if notSent(err) {
		return errs.Wrap(err, errs.Unavailable, unavailableRemedy, "table cannot be reached")
	}
	return errs.Wrap(err, errs.Unknown, unavailableRemedy, "answer of the table was lost")
}

const conditionFailed = "ConditionalCheckFailed"

// cancelledError reads the reasons, which are in the order of the actions. The
// first action is the row of the operation id: if it exists, an earlier
// attempt has taken effect.
func cancelledError(cancelled *types.TransactionCanceledException) error {
	reasons := cancelled.CancellationReasons
	if len(reasons) > 0 && aws.ToString(reasons[0].Code) == conditionFailed {
		return nil
	}
	for _, reason := range reasons {
		if aws.ToString(reason.Code) == conditionFailed {
			return errs.Wrap(cancelled, errs.Conflict, "read the row again and decide anew", "row of the table has changed")
		}
	}
	return errs.Wrap(cancelled, errs.Unavailable, unavailableRemedy, "table cancelled the transaction for now")
}

// throttled reports whether the service refused the request for now.
func throttled(api smithy.APIError) bool {
	switch api.ErrorCode() {
	case "ProvisionedThroughputExceededException", "ThrottlingException",
		"RequestLimitExceeded", "TransactionInProgressException":
		return true
	}
	return false
}
