package stores

import (
	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	"github.com/cockroachdb/errors"

	"waxwingtide.example/waxwingtide/errs"
)

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
