// Package jsonhttp makes HTTP requests with JSON bodies to one address.
package jsonhttp

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"woadweir/internal/core/model"
)

// Client speaks to one address. It never repeats a request by itself: whether
// that is safe is for the caller to know.
type Client struct {
	addr string
	hc   *fasthttp.HostClient
}

// New makes a client with at most that many connections.
func New(addr string, conns int) *Client {
	return &Client{addr: addr, hc: &fasthttp.HostClient{Addr: addr, MaxConns: conns, MaxIdleConnDuration: time.Minute,
		MaxIdemponentCallAttempts: 1, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize: 64 << 20, NoDefaultUserAgentHeader: true}}
}

// Do makes a request and hands status and body of the response to read; the
// body is valid only there. An error means that there was no response.
func (c *Client) Do(method, uri string, in any, timeout model.Micros, read func(code int, body []byte) error) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.addr + uri)
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return err
		}
		req.SetBodyRaw(body)
		req.Header.SetContentType("application/json")
	}
	if err := c.hc.DoTimeout(req, resp, timeout.Duration()); err != nil {
		return err
	}
	return read(resp.StatusCode(), resp.Body())
}
