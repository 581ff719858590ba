package record_test

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/record"
	"waxwingtide.example/waxwingtide/standin"
)

// Guards against a call that the HTTP client sends twice, and against an error kind
// that means "not sent" for a call that has run.
func TestServiceClient(t *testing.T) {
	cases := map[string]struct {
		fault      standin.Fault
		body       string
		want       errs.Kind
		executions int
	}{
		"plain":                          {standin.NoFault, "lot 7", 0, 1},
		"overloaded":                     {standin.Refuse, "lot 7", 0, 0},
		"response lost":                  {standin.LoseAnswer, "lot 7", errs.Unknown, 1},
		"response lost, empty body":      {standin.LoseAnswer, "", errs.Unknown, 1},
		"connection broken":              {standin.Down, "lot 7", errs.Unknown, 0},
		"malformed response is returned": {standin.Malformed, "lot 7", 0, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			service := standin.NewRecords()
			server := httptest.NewServer(service)
			defer server.Close()
			client, err := record.NewServiceClient(server.URL)
			require.NoError(t, err)
			// If the client reused the connection of an earlier call and it broke,
			// net/http would resend a request with an idempotency key.
			_, err = client.Do(t.Context(), &record.Call{Call: core.Call{Method: "GET", Path: "/lots"}, Workspace: "w"})
			require.NoError(t, err)
			_, err = client.Do(t.Context(), &record.Call{Call: core.Call{Method: "POST", Path: "/lots"}, Workspace: "w", IdempotencyKey: "other"})
			require.NoError(t, err)
			service.Set(c.fault)
			_, err = client.Do(t.Context(), &record.Call{
				Call: core.Call{Method: "POST", Path: "/lots", Body: []byte(c.body)}, Workspace: "w", IdempotencyKey: "k", Attempt: "a",
			})
			if c.want == 0 {
				require.NoError(t, err)
			} else {
				require.Equal(t, c.want, errs.KindOf(err), "%v", err)
			}
			require.Len(t, service.Executions("w", "k"), c.executions)
		})
	}
}

// Guards against an error of kind Unknown for a call that was certainly not sent.
func TestServiceClientErrorsOfCallsNotSent(t *testing.T) {
	server := httptest.NewServer(standin.NewRecords())
	server.Close()
	client, err := record.NewServiceClient(server.URL)
	require.NoError(t, err)
	_, err = client.Do(t.Context(), &record.Call{Call: core.Call{Method: "POST", Path: "/lots"}, IdempotencyKey: "k"})
	require.Equal(t, errs.Unavailable, errs.KindOf(err))
	_, err = client.Do(t.Context(), &record.Call{Call: core.Call{Method: "P OST", Path: "/lots"}, IdempotencyKey: "k"})
	require.Equal(t, errs.Invalid, errs.KindOf(err))
}
