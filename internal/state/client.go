// Package state is the client of the state service, a key-value store with revisions,
// compare-and-swap transactions, watches and leases. It also has the records that the controllers
// store there, the replica of them that every controller reads from, and the request budget.
package state

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"woadweir/internal/core/model"
	"woadweir/internal/jsoncodec"
	"woadweir/internal/jsonhttp"
)

const (
	// maxConnections is the maximum number of concurrent requests of a client.
	maxConnections = 16
	// pageSize is the maximum number of entries in one page of a listing.
	pageSize = 1000
	// noSuchLeaseText is part of the error in a response with status 400 to a transaction that
	// names a lease that does not exist.
	noSuchLeaseText = "no such lease"
)

// Client sends requests to the state service.
type Client struct{ http *jsonhttp.Client }

// NewClient returns a client for the state service at the address.
func NewClient(address string) *Client { return &Client{jsonhttp.New(address, maxConnections)} }

// do sends a request and decodes the response's body into responseBody, if responseBody is not nil
// and responses with that status have a body.
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
			if err := jsoncodec.Unmarshal(body, responseBody); err != nil {
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

// Get reads a key. It returns ErrMissing if the key does not exist.
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

// List reads all keys, page by page. The returned revision is that of the first page: a watch from
// there misses no change, and applying a change twice is harmless.
func (c *Client) List(timeout model.Micros, visit func(Entry) error) (revision uint64, err error) {
	return c.listPrefix("", timeout, visit)
}

// listPrefix reads all keys with a prefix; see List.
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

// listPage reads one page of the keys with a prefix that follow the key after. If after is
// "", it reads the first page.
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

// Watch returns all changes after a revision, without waiting for new ones. It returns
// ErrCompacted if the service no longer has all of them.
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

// Commit executes a transaction. Conditions that do not hold are not an error: the result names
// their keys.
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

// GrantLease creates a lease and returns its ID.
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

// RenewLease renews a lease. It returns ErrMissing if the lease has expired.
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

// RevokeLease ends a lease at once. It is not an error if the lease has already expired.
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
