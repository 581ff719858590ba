package standin

import "net/http"

// Objects is a stand-in for the platform's object store. It speaks the part of
// the S3 protocol that package platform uses, with path-style addresses.
type Objects struct {
	Switches
	// bodies hands the state from request to request.
	bodies chan map[string][]byte
}

// NewObjects returns an empty object store. Every bucket exists.
func NewObjects() *Objects {
	o := &Objects{bodies: make(chan map[string][]byte, 1)}
	o.bodies <- map[string][]byte{}
	return o
}

const (
	xmlType     = "application/xml"
	missingBody = "<Error><Code>NoSuchKey</Code><Message>The specified key does not exist.</Message></Error>"
	refusedBody = "<Error><Code>SlowDown</Code><Message>Reduce your request rate.</Message></Error>"
	methodBody  = "<Error><Code>MethodNotAllowed</Code><Message>Use GET or PUT.</Message></Error>"
)

// ServeHTTP implements http.Handler.
func (o *Objects) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	refusal := answer{http.StatusServiceUnavailable, xmlType, []byte(refusedBody)}
	o.serve(w, r, refusal, func(body []byte) answer {
		bodies := <-o.bodies
		defer func() { o.bodies <- bodies }()
		switch r.Method {
		case http.MethodPut:
			bodies[r.URL.Path] = body
			return answer{http.StatusOK, xmlType, nil}
		case http.MethodGet:
			if found, ok := bodies[r.URL.Path]; ok {
				return answer{http.StatusOK, "application/octet-stream", found}
			}
			return answer{http.StatusNotFound, xmlType, []byte(missingBody)}
		}
		return answer{http.StatusMethodNotAllowed, xmlType, []byte(methodBody)}
	})
}
