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

// MaxObjectBytes is the maximum size in bytes of an object that is read or written. It is
// four times that of a service's response and twice that of a bundle, the largest object.
const MaxObjectBytes = 16 << 20

// ObjectStoreOptions configures an object store client.
type ObjectStoreOptions struct {
	Endpoint Endpoint
	Bucket   string
	Retry    RetryOptions
}

// S3ObjectStore is an ObjectStore that uses the S3 protocol with path-style
// addresses. It is safe for concurrent use. Each request uses a connection of its own,
// because a response does not say which object it contains.
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
		HTTPClient:                 newSingleHTTPClient(MaxObjectBytes + 1),
		Retryer:                    aws.NopRetryer{},
		UsePathStyle:               true,
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	return &S3ObjectStore{client: client, bucket: o.Bucket, retry: newRetrier(o.Retry)}, nil
}

// Put implements ObjectStore. Put is idempotent and is therefore retried if a
// response is lost. Errors: Invalid, Unavailable, NotFound.
func (s *S3ObjectStore) Put(ctx context.Context, name string, body []byte) error {
	if name == "" || len(body) > MaxObjectBytes {
		return errs.New(errs.Invalid, "specify a name and at most 16 MiB of content", "object %q of %d bytes has no name or is too large", name, len(body))
	}
	return s.retry.run(ctx, func(ctx context.Context) error {
		_, err := s.client.PutObject(ctx, &s3.PutObjectInput{
			Bucket: aws.String(s.bucket),
			Key:    aws.String(name),
			Body:   bytes.NewReader(body),
		})
		return classifyObjectError(err, name)
	})
}

// Get implements ObjectStore. Errors: NotFound, Invalid, Unavailable, Corrupt.
func (s *S3ObjectStore) Get(ctx context.Context, name string) ([]byte, error) {
	if name == "" {
		return nil, errs.New(errs.Invalid, "specify the name of the object", "object without a name cannot be read")
	}
	var body []byte
	err := s.retry.run(ctx, func(ctx context.Context) error {
		out, err := s.client.GetObject(ctx, &s3.GetObjectInput{
			Bucket: aws.String(s.bucket),
			Key:    aws.String(name),
		})
		if err != nil {
			return classifyObjectError(err, name)
		}
		defer func() { _ = out.Body.Close() }()
		body, err = readBounded(out.Body, MaxObjectBytes)
		return err
	})
	return body, err
}

// readBounded reads a complete response body. Errors: Corrupt if the body is larger
// than limit in bytes, Unavailable if it cannot be read to its end.
func readBounded(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "retry later", "response body cannot be read to its end")
	}
	if int64(len(body)) > limit {
		return nil, errs.New(errs.Corrupt, "check the response of the service", "response body is larger than %d bytes", limit)
	}
	return body, nil
}

func classifyObjectError(err error, name string) error {
	if err == nil {
		return nil
	}
	var response *awshttp.ResponseError
	if !errors.As(err, &response) {
		return errs.Wrap(err, errs.Unavailable, "retry later", "object store did not respond to the request for object %s", name)
	}
	status := response.HTTPStatusCode()
	switch {
	case status == http.StatusNotFound:
		return errs.Wrap(err, errs.NotFound, "check the name of the object", "object %s was not found", name)
	case status >= 400 && status < 500 && status != http.StatusTooManyRequests:
		return errs.Wrap(err, errs.Invalid, "check the bucket, address and credentials of the object store", "object store rejected the request for object %s", name)
	default:
		return errs.Wrap(err, errs.Unavailable, "retry later", "object store temporarily failed the request for object %s", name)
	}
}
