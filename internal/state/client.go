// Package state is the client of the state service, a key-value store with revisions,
// compare-and-swap transactions, watches and leases. It also holds the records that the
// controllers keep there, the replica of them that every controller reads from, and the
// budget of requests.
package state

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"woadweir/internal/core/model"
	"woadweir/internal/jsonhttp"
)

const (
	// maxConnections is how many requests a client has open at the same time.
	maxConnections = 16
	// pageSize is how many entries the state service is asked for at once.
	pageSize = 1000
	// noSuchLeaseText is how the state service says in a response with status 400 that a
	// transaction names a lease that does not exist.
	noSuchLeaseText = "no such lease"
)

// Client makes requests to the state service.
type Client struct{ http *jsonhttp.Client }

// NewClient makes a client for the address.
func NewClient(address string) *Client { return &Client{jsonhttp.New(address, maxConnections)} }

// do makes a request and decodes the response's body into responseBody, if it is not nil and the
// status is one with a body.
func (c *Client) do(method, uri string, requestBody, responseBody any, timeout model.Micros) (code int, err error) {
	answered := false
	err = c.http.Do(method, uri, requestBody, timeout, func(status int, body []byte) error {
		code, answered = status, true
		switch {
		case code == http.StatusTooManyRequests:
			return ErrBusy
		case code == http.StatusServiceUnavailable:
			return ErrRefused
		case responseBody != nil && hasBody(code):
			if err := json.Unmarshal(body, responseBody); err != nil {
				return fmt.Errorf("%w: %w", ErrLost, err)
			}
		}
		return nil
	})
	if err != nil && !answered {
		err = fmt.Errorf("%w: %w", ErrLost, err)
	}
	return code, err
}

func hasBody(code int) bool {
	return code == http.StatusOK || code == http.StatusBadRequest || code == http.StatusConflict
}

// Get reads a key; ErrMissing tells that it does not exist.
func (c *Client) Get(key string, timeout model.Micros) (*Entry, error) {
	var entry Entry
	code, err := c.do(http.MethodGet, "/keys/"+key, nil, &entry, timeout)
	switch {
	case err != nil:
		return nil, err
	case code == http.StatusNotFound:
		return nil, ErrMissing
	case code != http.StatusOK:
		return nil, &StatusError{code}
	}
	return &entry, nil
}

// List reads all keys, page by page. The revision is that of the first page: watching
// from there misses nothing, and applying a change twice is harmless.
func (c *Client) List(timeout model.Micros, visit func(Entry) error) (revision uint64, err error) {
	return c.listPrefix("", timeout, visit)
}

// listPrefix reads all keys with a prefix, as List does.
func (c *Client) listPrefix(prefix string, timeout model.Micros, visit func(Entry) error) (revision uint64, err error) {
	after := ""
	for first := true; ; first = false {
		page, err := c.listPage(prefix, after, timeout)
		if err != nil {
			return 0, err
		}
		if first {
			revision = page.Revision
		}
		for _, entry := range page.Entries {
			if err := visit(entry); err != nil {
				return 0, err
			}
			after = entry.Path
		}
		if !page.HasNext || len(page.Entries) == 0 {
			return revision, nil
		}
	}
}

// listPage reads one page of keys with a prefix, which follow the key after.
func (c *Client) listPage(prefix, after string, timeout model.Micros) (*entryPage, error) {
	uri := "/keys?starts=" + prefix + "&most=" + strconv.Itoa(pageSize)
	if after != "" {
		uri += "&from=" + url.QueryEscape(after)
	}
	var page entryPage
	code, err := c.do(http.MethodGet, uri, nil, &page, timeout)
	if err != nil {
		return nil, err
	}
	if code != http.StatusOK {
		return nil, &StatusError{code}
	}
	return &page, nil
}

// Watch returns all changes after a revision, without waiting for any. ErrCompacted tells
// that the service no longer has all of them.
func (c *Client) Watch(after uint64, timeout model.Micros) (*Changes, error) {
	uri := "/watch?starts=&from=" + strconv.FormatUint(after, 10) + "&blockMs=0"
	var changes Changes
	code, err := c.do(http.MethodGet, uri, nil, &changes, timeout)
	switch {
	case err != nil:
		return nil, err
	case code == http.StatusGone:
		return nil, ErrCompacted
	case code != http.StatusOK:
		return nil, &StatusError{code}
	}
	return &changes, nil
}

// Commit executes a transaction. Conditions that do not hold are no error: the result
// names them.
func (c *Client) Commit(txn *Txn, timeout model.Micros) (*Result, error) {
	var result Result
	code, err := c.do(http.MethodPost, "/commit", txn, &result, timeout)
	switch {
	case err != nil:
		return nil, err
	case code == http.StatusOK:
		result.OK = true
		return &result, nil
	case code == http.StatusConflict:
		return &result, nil
	case code == http.StatusBadRequest && strings.Contains(result.Error, noSuchLeaseText):
		return nil, ErrNoLease
	case code == http.StatusBadRequest:
		return nil, fmt.Errorf("%w: %s", ErrTooBig, result.Error)
	}
	return nil, &StatusError{code}
}

// GrantLease opens a lease and returns its ID.
func (c *Client) GrantLease(ttl, timeout model.Micros) (uint64, error) {
	request := grantLeaseRequest{TTLMs: int64(ttl / model.Millisecond)}
	var response grantLeaseResponse
	code, err := c.do(http.MethodPost, "/grants", request, &response, timeout)
	if err != nil {
		return 0, err
	}
	if code != http.StatusOK {
		return 0, &StatusError{code}
	}
	return response.LeaseID, nil
}

// RenewLease renews a lease; ErrMissing tells that it is over.
func (c *Client) RenewLease(leaseID uint64, timeout model.Micros) error {
	code, err := c.do(http.MethodPost, leaseURI(leaseID)+"/touch", nil, nil, timeout)
	switch {
	case err != nil:
		return err
	case code == http.StatusNotFound:
		return ErrMissing
	case code != http.StatusOK:
		return &StatusError{code}
	}
	return nil
}

// RevokeLease ends a lease at once. One that is over already is no error.
func (c *Client) RevokeLease(leaseID uint64, timeout model.Micros) error {
	code, err := c.do(http.MethodDelete, leaseURI(leaseID), nil, nil, timeout)
	if err != nil {
		return err
	}
	switch code {
	case http.StatusOK, http.StatusNoContent, http.StatusNotFound:
		return nil
	}
	return &StatusError{code}
}

func leaseURI(leaseID uint64) string { return "/grants/" + strconv.FormatUint(leaseID, 10) }
