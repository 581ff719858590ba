package stores

import (
	"context"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"waxwingtide.example/waxwingtide/errs"
)

// MaxTransactionWrites is the maximum number of writes in one transaction. It is
// below the maximum that the protocol allows: 100 actions, one of which creates the
// row of the operation id.
const MaxTransactionWrites = 50

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
