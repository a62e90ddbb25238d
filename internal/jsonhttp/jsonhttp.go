// Package jsonhttp makes HTTP requests with JSON bodies to one address.
package jsonhttp

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"woadweir/internal/core/model"
)

const (
	// maxResponseSize limits the memory that one response can use.
	maxResponseSize = 64 << 20
	// maxIdleTime is how long an unused connection is kept open.
	maxIdleTime = time.Minute
)

// Client makes requests to one address. It never retries a request, because only the caller
// knows whether that is safe.
type Client struct {
	address string
	http    *fasthttp.HostClient
}

// New returns a client with at most maxConnections connections.
func New(address string, maxConnections int) *Client {
	return &Client{address: address, http: &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  maxConnections,
		MaxIdleConnDuration:       maxIdleTime,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		MaxResponseBodySize:       maxResponseSize,
		NoDefaultUserAgentHeader:  true,
	}}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// Do makes a request and passes the status and body of the response to read. The body is
// valid only until read returns. The returned error is that of read, or means that there
// was no response.
func (c *Client) Do(method, uri string, in any, timeout model.Micros, read func(code int, body []byte) error) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.address + uri)
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return err
		}
		request.SetBodyRaw(body)
		request.Header.SetContentType("application/json")
	}
	if err := c.http.DoTimeout(request, response, timeout.Duration()); err != nil {
		return err
	}
	return read(response.StatusCode(), response.Body())
}
