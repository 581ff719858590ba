package stores

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/aws/aws-sdk-go-v2/aws"
	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/cockroachdb/errors"

	"waxwingtide.example/waxwingtide/errs"
)

// MaxObjectBytes bounds an object that is read or written.
const MaxObjectBytes = 64 << 20

// ObjectStoreOptions configures an object store client.
type ObjectStoreOptions struct {
	Endpoint Endpoint
	Bucket   string
	Retry    RetryOptions
}

// S3ObjectStore is an object store over the S3 protocol with path-style addresses.
// It is safe for concurrent use.
type S3ObjectStore struct {
	client *s3.Client
	bucket string
	retry  *retrier
}

var _ ObjectStore = (*S3ObjectStore)(nil)

// NewObjectStore returns an object store client. It sends nothing. Errors: Invalid.
func NewObjectStore(o ObjectStoreOptions) (*S3ObjectStore, error) {
	if err := checkURL(o.Endpoint.URL, "object store"); err != nil {
		return nil, err
	}
	if o.Bucket == "" {
		return nil, errs.New(errs.Invalid, "set the bucket of the object store", "object store has no bucket")
	}
	client := s3.New(s3.Options{
		BaseEndpoint:               aws.String(o.Endpoint.URL),
		Region:                     o.Endpoint.region(),
		Credentials:                credentials.NewStaticCredentialsProvider(o.Endpoint.AccessKey, o.Endpoint.SecretKey, ""),
		HTTPClient:                 newHTTPClient(),
		Retryer:                    aws.NopRetryer{},
		UsePathStyle:               true,
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	return &S3ObjectStore{client: client, bucket: o.Bucket, retry: newRetrier(o.Retry)}, nil
}

// Put implements ObjectStore. A repeated put of the same object is harmless, so a
// lost answer is retried. Errors: Invalid, Unavailable.
func (s *S3ObjectStore) Put(ctx context.Context, name string, body []byte) error {
	if name == "" || len(body) > MaxObjectBytes {
		return errs.New(errs.Invalid, "give a name and at most 64 MiB", "object %q of %d bytes", name, len(body))
	}
	return s.retry.run(ctx, func(ctx context.Context) error {
		_, err := s.client.PutObject(ctx, &s3.PutObjectInput{
			Bucket: aws.String(s.bucket),
			Key:    aws.String(name),
			Body:   bytes.NewReader(body),
		})
		return objectError(err, name)
	})
}

// Get implements ObjectStore. Errors: NotFound, Invalid, Unavailable, Corrupt.
func (s *S3ObjectStore) Get(ctx context.Context, name string) ([]byte, error) {
	if name == "" {
		return nil, errs.New(errs.Invalid, "give a name", "object has no name")
	}
	var body []byte
	err := s.retry.run(ctx, func(ctx context.Context) error {
		out, err := s.client.GetObject(ctx, &s3.GetObjectInput{
			Bucket: aws.String(s.bucket),
			Key:    aws.String(name),
		})
		if err != nil {
			return objectError(err, name)
		}
		defer func() { _ = out.Body.Close() }()
		body, err = readBounded(out.Body, MaxObjectBytes)
		return err
	})
	return body, err
}

// readBounded reads a whole body. Errors: Corrupt when it is larger than the
// limit in bytes, Unavailable when it breaks off.
func readBounded(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "retry later", "answer broke off")
	}
	if int64(len(body)) > limit {
		return nil, errs.New(errs.Corrupt, "check what the service sends", "answer is larger than %d bytes", limit)
	}
	return body, nil
}

func objectError(err error, name string) error {
	if err == nil {
		return nil
	}
	var response *awshttp.ResponseError
	if !errors.As(err, &response) {
		return errs.Wrap(err, errs.Unavailable, "retry later", "object store did not answer for %s", name)
	}
	status := response.HTTPStatusCode()
	switch {
	case status == http.StatusNotFound:
		return errs.Wrap(err, errs.NotFound, "check the name of the object", "object %s", name)
	case status >= 400 && status < 500 && status != http.StatusTooManyRequests:
		return errs.Wrap(err, errs.Invalid, "check the bucket, address and credentials of the object store", "object store refused %s", name)
	default:
		return errs.Wrap(err, errs.Unavailable, "retry later", "object store failed for %s", name)
	}
}
